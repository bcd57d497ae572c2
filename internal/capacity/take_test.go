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

// busyEngines note orders, and have work until they are told otherwise.
type busyEngines struct {
	mu sync.Mutex
	// busy are the addresses of engines with work.
	busy map[string]bool
	// interrupted are the addresses that got an order while they had work.
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

func (e *busyEngines) TakeRole(_ context.Context, address string, order RoleOrder) error {
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

// short is a site whose four hosts are all that it may have: three with the model
// low, and one with high, which then wants three.
func short(t *testing.T, checksFencing bool) (*bench, *Reconciler, *busyEngines) {
	b := newBench(t)
	for i := range b.site.Capacity {
		b.site.Capacity[i].ChecksFencing = checksFencing
	}
	b.site.Models = []config.Model{{Name: "low", Version: "v1", Replicas: 3, Priority: 1}, {Name: "high", Version: "v7", Replicas: 1, Priority: 9}}
	engines := newBusyEngines()
	r := b.process(&plug{})
	r.options.Engines = engines
	r.options.Journal = explain.NewJournal("n1", 256, func() time.Time { return b.now })
	b.passes(r, 4, b.withinBudget)
	require.Equal(t, 3, b.ready("low"))
	require.Equal(t, 1, b.ready("high"))
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	b.site.Models[1].Replicas = 3
	return b, r, engines
}

// billed returns the hosts on the bill and how many of them run.
func (b *bench) billed() (lines, running int) {
	return len(b.platform.Bill()), b.running()["all"]
}

func TestUrgentModelTakesRunningHostsWhenStartsAreRefused(t *testing.T) {
	b, r, engines := short(t, true)
	var lowAddresses []string
	for _, u := range b.registry.Upstreams() {
		if u.Serves("low") {
			lowAddresses = append(lowAddresses, u.URL[len("http://"):])
			engines.setBusy(u.URL[len("http://"):], true)
		}
	}
	b.passes(r, 1, b.withinBudget)
	require.Equal(t, 1, b.ready("low"), "two of three get no new work")
	b.passes(r, 70, b.withinBudget) // longer than a leaving host is given
	require.Equal(t, 1, b.ready("high"), "a host with work was taken")
	for _, address := range lowAddresses {
		engines.setBusy(address, false)
	}
	b.passes(r, 4, b.withinBudget)
	require.Equal(t, 3, b.ready("high"))
	require.Equal(t, 1, b.ready("low"))
	require.Empty(t, engines.interrupted, "an engine with work got an order")
	lines, running := b.billed()
	require.Equal(t, []int{4, 4}, []int{lines, running}, "the bill has the same four hosts")

	taken := slices.DeleteFunc(b.registry.Upstreams(), func(u fleet.Upstream) bool {
		return !slices.Contains(lowAddresses, u.URL[len("http://"):]) || !u.Serves("high")
	})
	require.Len(t, taken, 2)
	for _, u := range taken {
		require.Equal(t, ident.Model("high"), engines.loaded[u.URL[len("http://"):]])
		told := r.options.Journal.Lookup(explain.Subject{Kind: explain.KindHost, ID: string(u.Host)})
		require.True(t, slices.ContainsFunc(told, func(e explain.Entry) bool { return e.Decision.Name == hostTaken.Name }))
	}
	require.Len(t, r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "low"}), 2, "each taking is told once")

	b.platform.ClearFaults()
	b.passes(r, 20, b.withinBudget)
	require.Equal(t, 3, b.ready("low"), "starts are given again")
	require.Equal(t, 3, b.ready("high"))
	require.Equal(t, 6, b.running()["all"])
}

func TestLastReplicaIsTakenOnlyForAModelThatHasNone(t *testing.T) {
	b, r, _ := short(t, true)
	b.site.Models[1].Replicas = 4
	b.passes(r, 10, b.withinBudget)
	require.Equal(t, 3, b.ready("high"))
	require.Equal(t, 1, b.ready("low"), "the last replica of a model that runs was taken")
	b.site.Models = append(b.site.Models, config.Model{Name: "first", Replicas: 1, Priority: 5})
	b.passes(r, 10, b.withinBudget)
	require.Equal(t, 1, b.ready("first"))
	require.Zero(t, b.ready("low"))
	require.Equal(t, 3, b.ready("high"), "a less urgent model took a host of a more urgent one")
}

func TestHostIsGivenBackWhenItIsNotWantedAnyMore(t *testing.T) {
	b, r, engines := short(t, true)
	for _, u := range b.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], true)
	}
	b.passes(r, 2, b.withinBudget)
	require.Equal(t, 1, b.ready("low"))
	b.site.Models[1].Replicas = 1
	b.passes(r, 1, b.withinBudget)
	require.Equal(t, 3, b.ready("low"), "the hosts still have their model loaded")
	require.Equal(t, 1, b.ready("high"))
	lines, running := b.billed()
	require.Equal(t, []int{4, 4}, []int{lines, running})
}

func TestHostOfAnEngineThatIgnoresFencingIsTakenByWhoStartedItOnly(t *testing.T) {
	b, _, _ := short(t, false)
	other := b.process(&plug{})
	other.options.Lease = heldUnder(2)
	b.passes(other, 10, b.withinBudget)
	require.Equal(t, 1, b.ready("high"), "a late order of the last holder could load the old model over the new one")
	require.Equal(t, 3, b.ready("low"))
	same := b.process(&plug{})
	b.passes(same, 10, b.withinBudget)
	require.Equal(t, 3, b.ready("high"))
	require.Equal(t, 1, b.ready("low"))
}

func TestHolderThatEndsWhileHostsAreTakenLosesNone(t *testing.T) {
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			b, _, engines := short(t, true)
			first := &plug{left: at, after: after}
			r := b.process(first)
			r.options.Engines = engines
			b.passes(r, 6, b.withinBudget)
			next := b.process(&plug{})
			next.options.Engines = engines
			b.passes(next, 8, b.withinBudget)
			require.Equal(t, 3, b.ready("high"), "ended at call %d", at)
			require.Equal(t, 1, b.ready("low"), "ended at call %d", at)
			lines, running := b.billed()
			require.Equal(t, []int{4, 4}, []int{lines, running}, "ended at call %d", at)
			if !first.dead {
				require.Greater(t, at, 4, "the plug met too few calls")
				break
			}
		}
	}
}

func TestRolloutWithoutASpareHostIsTold(t *testing.T) {
	b := newBench(t)
	r := b.process(&plug{})
	r.options.Journal = explain.NewJournal("n1", 256, func() time.Time { return b.now })
	b.passes(r, 4, b.withinBudget)
	require.Empty(t, r.Rollouts())
	for i := range b.site.Capacity {
		b.site.Capacity[i].MaxHosts = 0
	}
	b.site.Models[0].Version = "v2"
	b.passes(r, 5, func() {})
	require.Equal(t, []Rollout{{Model: "m1", Version: "v2", Replicas: 4, Outdated: 4, Waits: true}}, r.Rollouts())
	told := r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "m1"})
	require.Len(t, told, 1, "told once")
	require.Contains(t, told[0].Sentence(), "The roll-out of version v2 of model m1 waits for a spare host: 4 of 4 replicas have another version")
	lines, _ := b.billed()
	require.Equal(t, 4, lines)

	for i := range b.site.Capacity {
		b.site.Capacity[i].MaxHosts = 4
	}
	b.passes(r, 30, func() { require.GreaterOrEqual(t, b.ready("m1"), 4) })
	require.Empty(t, r.Rollouts())
	told = r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "m1"})
	require.Equal(t, rolloutGoesOn.Name, told[len(told)-1].Decision.Name)
	require.Len(t, told, 2)
}
