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

// countingEngines records the calls made to it.
type countingEngines struct {
	mu              sync.Mutex
	loadCalls       int
	eventCallsSince []uint64
	failEvents      bool
}

func (e *countingEngines) ReportLoad(context.Context, string) (*engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadCalls++
	return new(engine.Load), nil
}

func (e *countingEngines) ReportCacheEvents(_ context.Context, _ string, since uint64) (*engine.CacheEvents, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventCallsSince = append(e.eventCallsSince, since)
	if e.failEvents {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInternal, "broken")
	}
	return &engine.CacheEvents{Next: since + 10}, nil
}

func newCountingObserver() (*Observer, *countingEngines) {
	self := membership.Member{Node: "n1", FailureDomain: "d1"}
	ledger := owner.NewLedger(self.Node, self.FailureDomain, routing.LeastOutstanding{}, 0, rand.New(rand.NewPCG(1, 2)))
	upstreams := []fleet.Upstream{{ID: "u", FailureDomain: "d1", Models: []ident.Model{"m"}, Slots: 1, State: fleet.StateReady}}
	ledger.Update(time.Now(), upstreams, []membership.Member{self})
	engines := new(countingEngines)
	return New(ledger, engines), engines
}

func TestCacheEventsArePolledEveryThirdPass(t *testing.T) {
	o, engines := newCountingObserver()
	for range 2*passesPerEventPoll + 1 {
		o.Poll(t.Context())
	}
	require.Equal(t, 2*passesPerEventPoll+1, engines.loadCalls)
	require.Equal(t, []uint64{0, 10, 20}, engines.eventCallsSince, "polled at the first pass and every third pass after it")
}

func TestFailedCacheEventPollIsRetriedOnNextPass(t *testing.T) {
	o, engines := newCountingObserver()
	engines.failEvents = true
	o.Poll(t.Context())
	o.Poll(t.Context())
	engines.failEvents = false
	o.Poll(t.Context())
	o.Poll(t.Context())
	require.Equal(t, []uint64{0, 0, 0}, engines.eventCallsSince)
}
