package capacity

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// busyEngines record orders; each engine has work while its address is marked as busy.
type busyEngines struct {
	mu sync.Mutex
	// busy holds the addresses of engines that have work.
	busy map[string]bool
	// interrupted holds the addresses of engines that got a load order while they had work.
	interrupted []string
	loaded      map[string]ident.Model
	roles       map[string]ident.Role
}

func newBusyEngines() *busyEngines {
	return &busyEngines{busy: make(map[string]bool), loaded: make(map[string]ident.Model), roles: make(map[string]ident.Role)}
}

func (e *busyEngines) Load(_ context.Context, address string, order LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[address] {
		e.interrupted = append(e.interrupted, address)
	}
	e.loaded[address] = order.Model
	return nil
}

func (e *busyEngines) SetRole(_ context.Context, address string, order RoleOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roles[address] = order.Role
	return nil
}

func (e *busyEngines) Status(_ context.Context, address string) (EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[address] {
		return EngineLoad{Running: 1, Slots: 8}, nil
	}
	return EngineLoad{Slots: 8}, nil
}

func (e *busyEngines) setBusy(address string, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy[address] = busy
}

// scarceSite returns a site that can have no more than its four hosts: three run the model low, and
// one runs high, which then wants three.
func scarceSite(t *testing.T, checksFencing bool) (*testSite, *Reconciler, *busyEngines) {
	b := newTestSite(t)
	for i := range b.site.Capacity {
		b.site.Capacity[i].ChecksFencing = checksFencing
	}
	b.site.Models = []config.Model{{Name: "low", Version: "v1", Replicas: 3, Priority: 1}, {Name: "high", Version: "v7", Replicas: 1, Priority: 9}}
	engines := newBusyEngines()
	r := b.newHolder(&crashPoint{})
	r.options.Engines = engines
	r.options.Journal = explain.NewJournal("n1", 256, func() time.Time { return b.now })
	b.passes(r, 4, b.requireWithinMaxHosts)
	require.Equal(t, 3, b.readyUpstreams("low"))
	require.Equal(t, 1, b.readyUpstreams("high"))
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	b.site.Models[1].Replicas = 3
	return b, r, engines
}

// billCounts returns how many hosts are on the bill and how many of them run.
func (b *testSite) billCounts() (lines, running int) {
	return len(b.platform.Bill()), b.runningByDomain()["all"]
}

func TestUrgentModelTakesOverRunningHostsWhenStartsAreRefused(t *testing.T) {
	b, r, engines := scarceSite(t, true)
	var lowAddresses []string
	for _, u := range b.registry.Upstreams() {
		if u.Serves("low") {
			lowAddresses = append(lowAddresses, u.URL[len("http://"):])
			engines.setBusy(u.URL[len("http://"):], true)
		}
	}
	b.passes(r, 1, b.requireWithinMaxHosts)
	require.Equal(t, 1, b.readyUpstreams("low"), "two of three replicas get no new work")
	b.passes(r, 70, b.requireWithinMaxHosts) // longer than maxDrain
	require.Equal(t, 1, b.readyUpstreams("high"), "a host was taken over before its work was done")
	for _, address := range lowAddresses {
		engines.setBusy(address, false)
	}
	b.passes(r, 4, b.requireWithinMaxHosts)
	require.Equal(t, 3, b.readyUpstreams("high"))
	require.Equal(t, 1, b.readyUpstreams("low"))
	require.Empty(t, engines.interrupted, "an engine with work got a load order")
	lines, running := b.billCounts()
	require.Equal(t, []int{4, 4}, []int{lines, running}, "the bill has the same four hosts, all running")

	taken := slices.DeleteFunc(b.registry.Upstreams(), func(u fleet.Upstream) bool {
		return !slices.Contains(lowAddresses, u.URL[len("http://"):]) || !u.Serves("high")
	})
	require.Len(t, taken, 2)
	for _, u := range taken {
		require.Equal(t, ident.Model("high"), engines.loaded[u.URL[len("http://"):]])
		entries := r.options.Journal.Lookup(explain.Subject{Kind: explain.KindHost, ID: string(u.Host)})
		require.True(t, slices.ContainsFunc(entries, func(e explain.Entry) bool { return e.Decision.Name == hostTakenOver.Name }))
	}
	require.Len(t, r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "low"}), 2, "each takeover is recorded once")

	b.platform.ClearFaults()
	b.passes(r, 20, b.requireWithinMaxHosts)
	require.Equal(t, 3, b.readyUpstreams("low"), "new hosts replace those taken over once starts are allowed again")
	require.Equal(t, 3, b.readyUpstreams("high"))
	require.Equal(t, 6, b.runningByDomain()["all"])
}

func TestLastReplicaIsTakenOverOnlyForModelWithoutReplicas(t *testing.T) {
	b, r, _ := scarceSite(t, true)
	b.site.Models[1].Replicas = 4
	b.passes(r, 10, b.requireWithinMaxHosts)
	require.Equal(t, 3, b.readyUpstreams("high"))
	require.Equal(t, 1, b.readyUpstreams("low"), "the last replica of a model was taken over for a model that has replicas")
	b.site.Models = append(b.site.Models, config.Model{Name: "first", Replicas: 1, Priority: 5})
	b.passes(r, 10, b.requireWithinMaxHosts)
	require.Equal(t, 1, b.readyUpstreams("first"))
	require.Zero(t, b.readyUpstreams("low"))
	require.Equal(t, 3, b.readyUpstreams("high"), "a less urgent model took over a host of a more urgent one")
}

func TestTakeoverIsCancelledWhenNoLongerNeeded(t *testing.T) {
	b, r, engines := scarceSite(t, true)
	for _, u := range b.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], true)
	}
	b.passes(r, 2, b.requireWithinMaxHosts)
	require.Equal(t, 1, b.readyUpstreams("low"))
	b.site.Models[1].Replicas = 1
	b.passes(r, 1, b.requireWithinMaxHosts)
	require.Equal(t, 3, b.readyUpstreams("low"), "the hosts still have their model loaded")
	require.Equal(t, 1, b.readyUpstreams("high"))
	lines, running := b.billCounts()
	require.Equal(t, []int{4, 4}, []int{lines, running})
}

func TestUnfencedHostIsTakenOverOnlyByHolderThatStartedIt(t *testing.T) {
	b, _, _ := scarceSite(t, false)
	other := b.newHolder(&crashPoint{})
	other.options.Lease = heldWithFence(2)
	b.passes(other, 10, b.requireWithinMaxHosts)
	require.Equal(t, 1, b.readyUpstreams("high"), "a late order of the previous holder could load the old model over the new one")
	require.Equal(t, 3, b.readyUpstreams("low"))
	same := b.newHolder(&crashPoint{})
	b.passes(same, 10, b.requireWithinMaxHosts)
	require.Equal(t, 3, b.readyUpstreams("high"))
	require.Equal(t, 1, b.readyUpstreams("low"))
}

func TestCrashDuringTakeoverLosesNoHost(t *testing.T) {
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			b, _, engines := scarceSite(t, true)
			first := &crashPoint{callsLeft: at, afterEffect: after}
			r := b.newHolder(first)
			r.options.Engines = engines
			b.passes(r, 6, b.requireWithinMaxHosts)
			next := b.newHolder(&crashPoint{})
			next.options.Engines = engines
			b.passes(next, 8, b.requireWithinMaxHosts)
			require.Equal(t, 3, b.readyUpstreams("high"), "crashed at call %d", at)
			require.Equal(t, 1, b.readyUpstreams("low"), "crashed at call %d", at)
			lines, running := b.billCounts()
			require.Equal(t, []int{4, 4}, []int{lines, running}, "crashed at call %d", at)
			if !first.crashed {
				require.Greater(t, at, 4, "too few calls were made to crash at")
				break
			}
		}
	}
}

func TestRolloutWithoutSpareHostIsRecorded(t *testing.T) {
	b := newTestSite(t)
	r := b.newHolder(&crashPoint{})
	r.options.Journal = explain.NewJournal("n1", 256, func() time.Time { return b.now })
	b.passes(r, 4, b.requireWithinMaxHosts)
	require.Empty(t, r.Rollouts())
	for i := range b.site.Capacity {
		b.site.Capacity[i].MaxHosts = 0
	}
	b.site.Models[0].Version = "v2"
	b.passes(r, 5, func() {})
	require.Equal(t, []Rollout{{Model: "m1", Version: "v2", Replicas: 4, Outdated: 4, WaitsForHost: true}}, r.Rollouts())
	entries := r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "m1"})
	require.Len(t, entries, 1, "recorded once")
	require.Contains(t, entries[0].Sentence(), "The roll-out of version v2 of model m1 waits for a spare host: 4 of 4 replicas have another version")
	lines, _ := b.billCounts()
	require.Equal(t, 4, lines)

	for i := range b.site.Capacity {
		b.site.Capacity[i].MaxHosts = 4
	}
	b.passes(r, 30, func() { require.GreaterOrEqual(t, b.readyUpstreams("m1"), 4) })
	require.Empty(t, r.Rollouts())
	entries = r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "m1"})
	require.Equal(t, rolloutResumed.Name, entries[len(entries)-1].Decision.Name)
	require.Len(t, entries, 2)
}
