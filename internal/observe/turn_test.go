package observe

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// countedEngines count what they are asked.
type countedEngines struct {
	mu     sync.Mutex
	loads  int
	since  []uint64
	broken bool
}

func (e *countedEngines) ReportLoad(context.Context, string) (*engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads++
	return new(engine.Load), nil
}

func (e *countedEngines) ReportCacheEvents(_ context.Context, _ string, since uint64) (*engine.CacheEvents, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.since = append(e.since, since)
	if e.broken {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInternal, "broken")
	}
	return &engine.CacheEvents{Next: since + 10}, nil
}

func newTurns() (*Observer, *countedEngines) {
	self := membership.Member{Node: "n1", FailureDomain: "d1"}
	ledger := owner.NewLedger(self.Node, self.FailureDomain, routing.LeastOutstanding{}, 0, rand.New(rand.NewPCG(1, 2)))
	upstreams := []fleet.Upstream{{ID: "u", FailureDomain: "d1", Models: []ident.Model{"m"}, Slots: 1, State: fleet.StateReady}}
	ledger.Update(time.Now(), upstreams, []membership.Member{self})
	engines := new(countedEngines)
	return New(ledger, engines), engines
}

func TestCacheEventsAreAskedForInTurn(t *testing.T) {
	o, engines := newTurns()
	for range 2*eventPasses + 1 {
		o.Pass(t.Context())
	}
	require.Equal(t, 2*eventPasses+1, engines.loads)
	require.Equal(t, []uint64{0, 10, 20}, engines.since, "at the first pass and each third after it")
}

func TestCacheEventsThatDidNotComeAreAskedForAtOnce(t *testing.T) {
	o, engines := newTurns()
	engines.broken = true
	o.Pass(t.Context())
	o.Pass(t.Context())
	engines.broken = false
	o.Pass(t.Context())
	o.Pass(t.Context())
	require.Equal(t, []uint64{0, 0, 0}, engines.since)
}
