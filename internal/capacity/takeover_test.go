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
	// loaded and roles are the model and the role that each engine was last ordered to take, by
	// address.
	loaded map[string]ident.Model
	roles  map[string]ident.Role
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
// one runs high. Once they serve, high is configured to have three replicas too.
func scarceSite(t *testing.T, checksFencing bool) (*testSite, *Reconciler, *busyEngines) {
	s := newTestSite(t)
	for i := range s.site.Capacity {
		s.site.Capacity[i].ChecksFencing = checksFencing
	}
	s.site.Models = []config.Model{{Name: "low", Version: "v1", Replicas: 3, Priority: 1}, {Name: "high", Version: "v7", Replicas: 1, Priority: 9}}
	engines := newBusyEngines()
	r := s.newHolder(&crashPoint{})
	r.options.Engines = engines
	r.options.Journal = explain.NewJournal("n1", 256, func() time.Time { return s.now })
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.readyUpstreams("low"))
	require.Equal(t, 1, s.readyUpstreams("high"))
	s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	s.site.Models[1].Replicas = 3
	return s, r, engines
}

// billCounts returns how many hosts are on the bill and how many of them run.
func (s *testSite) billCounts() (lines, running int) {
	return len(s.platform.Bill()), s.runningByDomain()["all"]
}

func TestUrgentModelTakesOverRunningHostsWhenStartsAreRefused(t *testing.T) {
	s, r, engines := scarceSite(t, true)
	var lowAddresses []string
	for _, u := range s.registry.Upstreams() {
		if u.Serves("low") {
			lowAddresses = append(lowAddresses, u.URL[len("http://"):])
			engines.setBusy(u.URL[len("http://"):], true)
		}
	}
	s.passes(r, 1, s.requireWithinMaxHosts)
	require.Equal(t, 1, s.readyUpstreams("low"), "not exactly one of three replicas still gets new work")
	s.passes(r, 70, s.requireWithinMaxHosts) // longer than maxDrain
	require.Equal(t, 1, s.readyUpstreams("high"), "a host was taken over before its work was done")
	for _, address := range lowAddresses {
		engines.setBusy(address, false)
	}
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.readyUpstreams("high"))
	require.Equal(t, 1, s.readyUpstreams("low"))
	require.Empty(t, engines.interrupted, "an engine with work got a load order")
	lines, running := s.billCounts()
	require.Equal(t, []int{4, 4}, []int{lines, running}, "the bill does not have the same four hosts, all running")

	taken := slices.DeleteFunc(s.registry.Upstreams(), func(u fleet.Upstream) bool {
		return !slices.Contains(lowAddresses, u.URL[len("http://"):]) || !u.Serves("high")
	})
	require.Len(t, taken, 2)
	for _, u := range taken {
		require.Equal(t, ident.Model("high"), engines.loaded[u.URL[len("http://"):]])
		entries := r.options.Journal.Lookup(explain.Subject{Kind: explain.KindHost, ID: string(u.Host)})
		require.True(t, slices.ContainsFunc(entries, func(e explain.Entry) bool { return e.Decision.Name == hostTakenOver.Name }))
	}
	require.Len(t, r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "low"}), 2, "the two takeovers were not recorded once each")

	s.platform.ClearFaults()
	s.passes(r, 20, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.readyUpstreams("low"), "the hosts taken over were not replaced once starts were allowed again")
	require.Equal(t, 3, s.readyUpstreams("high"))
	require.Equal(t, 6, s.runningByDomain()["all"])
}

func TestLastReplicaIsTakenOverOnlyForModelWithoutReplicas(t *testing.T) {
	s, r, _ := scarceSite(t, true)
	s.site.Models[1].Replicas = 4
	s.passes(r, 10, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.readyUpstreams("high"))
	require.Equal(t, 1, s.readyUpstreams("low"), "the last replica of a model was taken over for a model that has replicas")
	s.site.Models = append(s.site.Models, config.Model{Name: "first", Replicas: 1, Priority: 5})
	s.passes(r, 10, s.requireWithinMaxHosts)
	require.Equal(t, 1, s.readyUpstreams("first"))
	require.Zero(t, s.readyUpstreams("low"))
	require.Equal(t, 3, s.readyUpstreams("high"), "a less urgent model took over a host of a more urgent one")
}

func TestTakeoverIsCancelledWhenNoLongerNeeded(t *testing.T) {
	s, r, engines := scarceSite(t, true)
	for _, u := range s.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], true)
	}
	s.passes(r, 2, s.requireWithinMaxHosts)
	require.Equal(t, 1, s.readyUpstreams("low"))
	s.site.Models[1].Replicas = 1
	s.passes(r, 1, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.readyUpstreams("low"), "a host does not serve the model that it still has loaded")
	require.Equal(t, 1, s.readyUpstreams("high"))
	lines, running := s.billCounts()
	require.Equal(t, []int{4, 4}, []int{lines, running})
}

func TestUnfencedHostIsTakenOverOnlyByHolderThatStartedIt(t *testing.T) {
	s, _, _ := scarceSite(t, false)
	other := s.newHolder(&crashPoint{})
	other.options.Lease = heldWithFence(2)
	s.passes(other, 10, s.requireWithinMaxHosts)
	require.Equal(t, 1, s.readyUpstreams("high"), "a late order of the previous holder could load the old model over the new one")
	require.Equal(t, 3, s.readyUpstreams("low"))
	same := s.newHolder(&crashPoint{})
	s.passes(same, 10, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.readyUpstreams("high"))
	require.Equal(t, 1, s.readyUpstreams("low"))
}

func TestCrashDuringTakeoverLosesNoHost(t *testing.T) {
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			s, _, engines := scarceSite(t, true)
			first := &crashPoint{callsLeft: at, afterEffect: after}
			r := s.newHolder(first)
			r.options.Engines = engines
			s.passes(r, 6, s.requireWithinMaxHosts)
			next := s.newHolder(&crashPoint{})
			next.options.Engines = engines
			s.passes(next, 8, s.requireWithinMaxHosts)
			require.Equal(t, 3, s.readyUpstreams("high"), "crashed at call %d", at)
			require.Equal(t, 1, s.readyUpstreams("low"), "crashed at call %d", at)
			lines, running := s.billCounts()
			require.Equal(t, []int{4, 4}, []int{lines, running}, "crashed at call %d", at)
			if !first.crashed {
				require.Greater(t, at, 4, "too few calls were made to crash at")
				break
			}
		}
	}
}

func TestRolloutWithoutSpareHostIsRecorded(t *testing.T) {
	s := newTestSite(t)
	r := s.newHolder(&crashPoint{})
	r.options.Journal = explain.NewJournal("n1", 256, func() time.Time { return s.now })
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Empty(t, r.Rollouts())
	for i := range s.site.Capacity {
		s.site.Capacity[i].MaxHosts = 0
	}
	s.site.Models[0].Version = "v2"
	s.passes(r, 5, func() {})
	require.Equal(t, []Rollout{{Model: "m1", Version: "v2", Replicas: 4, Outdated: 4, WaitsForHost: true}}, r.Rollouts())
	entries := r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "m1"})
	require.Len(t, entries, 1, "not recorded exactly once")
	require.Contains(t, entries[0].Sentence(), "The roll-out of version v2 of model m1 waits for a spare host: 4 of 4 replicas have another version")
	lines, _ := s.billCounts()
	require.Equal(t, 4, lines)

	for i := range s.site.Capacity {
		s.site.Capacity[i].MaxHosts = 4
	}
	s.passes(r, 30, func() { require.GreaterOrEqual(t, s.readyUpstreams("m1"), 4) })
	require.Empty(t, r.Rollouts())
	entries = r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "m1"})
	require.Equal(t, rolloutResumed.Name, entries[len(entries)-1].Decision.Name)
	require.Len(t, entries, 2)
}
