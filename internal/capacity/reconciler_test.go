package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/platform/weights"
	"mangoledge.example/mangoledge/internal/relay"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

var errCrashed = errors.New("the process has ended")

// plug ends a process at its nth call, before or after the call takes effect.
type plug struct {
	mu    sync.Mutex
	left  int
	after bool
	dead  bool
}

// call makes a call unless the process has ended.
func (p *plug) call(do func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		return errCrashed
	}
	p.left--
	if p.left != 0 {
		return do()
	}
	p.dead = true
	if p.after {
		_ = do()
	}
	return errCrashed
}

// pluggedCloud is a cloud behind a plug.
type pluggedCloud struct {
	cloud.API
	plug *plug
}

func (c pluggedCloud) Start(ctx context.Context, start cloud.Start) (out cloud.Host, err error) {
	err = c.plug.call(func() error { out, err = c.API.Start(ctx, start); return err })
	return out, err
}

func (c pluggedCloud) Terminate(ctx context.Context, host ident.Host) error {
	return c.plug.call(func() error { return c.API.Terminate(ctx, host) })
}

// pluggedStore is an object store behind a plug.
type pluggedStore struct {
	objects.Store
	plug *plug
}

func (s pluggedStore) Create(ctx context.Context, o objects.Object) (out objects.Object, err error) {
	err = s.plug.call(func() error { out, err = s.Store.Create(ctx, o); return err })
	return out, err
}

func (s pluggedStore) Update(ctx context.Context, o objects.Object) (out objects.Object, err error) {
	err = s.plug.call(func() error { out, err = s.Store.Update(ctx, o); return err })
	return out, err
}

// holding is a lease that is always held.
type holding struct{}

func (holding) Check() (lease.Fence, error)         { return 1, nil }
func (holding) CheckUnfenced() (lease.Fence, error) { return 1, nil }

// heldUnder is a lease that is always held under a fencing number.
type heldUnder lease.Fence

func (h heldUnder) Check() (lease.Fence, error)         { return lease.Fence(h), nil }
func (h heldUnder) CheckUnfenced() (lease.Fence, error) { return lease.Fence(h), nil }

// idleEngines take every order and have nothing to do.
type idleEngines struct{}

func (idleEngines) Load(context.Context, string, LoadOrder) error     { return nil }
func (idleEngines) TakeRole(context.Context, string, RoleOrder) error { return nil }
func (idleEngines) Status(context.Context, string) (EngineLoad, error) {
	return EngineLoad{Slots: 8}, nil
}

// bench is a site before a stand-in.
type bench struct {
	t        testing.TB
	platform *platform.Server
	url      string
	store    objects.Store
	cloud    *cloud.Client
	registry *fleet.Registry
	now      time.Time
	tokens   int
	site     config.Site
	// inForce is the newest version of the site, and inForceText what it says.
	inForce     *config.Site
	inForceText string
	// noticed is the sequence number of the newest reclaim notice.
	noticed uint64
	// marked are marks besides those of the notices; noticed grows by hand with each.
	marked []fleet.Mark
	// asks lets holders ask for single hosts at this small site too.
	asks bool
}

// Current returns a version that stays as it is: tests change the site in place.
func (b *bench) Current() *config.Site {
	if text := fmt.Sprintf("%+v", b.site); b.inForce == nil || text != b.inForceText {
		version := b.site
		version.Models, version.Capacity = slices.Clone(b.site.Models), slices.Clone(b.site.Capacity)
		version.Drains = slices.Clone(b.site.Drains)
		b.inForce, b.inForceText = &version, text
	}
	return b.inForce
}

// Changes counts the reclaim notices, each of which is a mark on a node.
func (b *bench) Changes() uint64 {
	heard, err := b.cloud.Notices(context.Background(), b.noticed, 0)
	require.NoError(b.t, err)
	for _, notice := range heard {
		b.noticed = max(b.noticed, notice.Sequence)
	}
	return b.noticed
}

// Marks returns a mark for each reclaim notice.
func (b *bench) Marks() []fleet.Mark {
	heard, err := b.cloud.Notices(context.Background(), 0, 0)
	require.NoError(b.t, err)
	out := make([]fleet.Mark, 0, len(heard))
	for _, notice := range heard {
		at := time.UnixMilli(notice.ReclaimAtMs)
		out = append(out, fleet.Mark{Subject: fleet.Subject{Host: notice.Host}, At: at, Source: fleet.SourceNotice, ReclaimAt: at})
	}
	return append(out, b.marked...)
}

func newBench(t testing.TB) *bench {
	t.Helper()
	return newBenchOf(t, 3)
}

// newBenchOf makes a site of some failure domains.
func newBenchOf(t testing.TB, domains int) *bench {
	t.Helper()
	b := &bench{t: t, now: time.Now()}
	b.platform = platform.NewServer(platform.Options{Seed: 1, Clock: func() time.Time { return b.now }, LoadsPerMinute: 6000})
	server := httptest.NewServer(b.platform)
	t.Cleanup(server.Close)
	b.url = server.URL
	b.useBudget(objects.NewBudget(1e6, 1000))
	calls := rest.NewClient(rest.Options{BaseURL: b.url, CallsPerSecond: 1e6})
	t.Cleanup(calls.Close)
	b.cloud = cloud.NewClient(calls)
	b.site = config.Site{Models: []config.Model{{Name: "m1", Version: "v1", Replicas: 4, Priority: 5}}}
	var offers []platform.Offer
	for d := range domains {
		domain := fmt.Sprintf("d%d", d+1)
		b.addPool(&offers, domain, platform.MarketReclaimable, 1)
		b.addPool(&offers, domain, platform.MarketOnDemand, 3)
		addresses := make([]string, 0, 20)
		for a := range 20 {
			addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:9000", d, a))
		}
		b.platform.SetAddresses(domain, addresses)
	}
	b.platform.SetOffers(offers)
	return b
}

// useBudget gives the site's holder a budget of store calls.
func (b *bench) useBudget(budget *objects.Budget) {
	store := objects.NewClient(objects.Options{BaseURL: b.url, Budget: budget})
	b.t.Cleanup(store.Close)
	b.store = store
	b.registry = fleet.NewRegistry(store, relay.New(relay.Options{Store: store}), slog.New(slog.DiscardHandler))
}

func (b *bench) addPool(offers *[]platform.Offer, domain string, market platform.Market, price float64) {
	*offers = append(*offers, platform.Offer{
		FailureDomain: domain, HostClass: "small", Market: market, PricePerHour: price, Available: 20,
	})
	b.site.Capacity = append(b.site.Capacity, config.Capacity{
		FailureDomain: ident.FailureDomain(domain), HostClass: "small", MaxHosts: 4,
		MaxPricePerHour: price, Reclaimable: market == platform.MarketReclaimable,
	})
}

// process is a new holder that ends by its plug.
func (b *bench) process(p *plug) *Reconciler {
	calls := rest.NewClient(rest.Options{BaseURL: b.url, CallsPerSecond: 1e6})
	b.t.Cleanup(calls.Close)
	clock := func() time.Time { return b.now }
	r := New(Options{
		Store: pluggedStore{b.store, p}, Lease: holding{}, Cloud: pluggedCloud{b.cloud, p},
		Weights: weights.NewClient(calls, clock), Engines: idleEngines{}, Registry: b.registry, Site: b, Marks: b,
		RegionOf: func(ident.FailureDomain) ident.Region { return "r" },
		NewToken: func() string { b.tokens++; return fmt.Sprintf("t%d", b.tokens) },
		Clock:    clock, Logger: slog.New(slog.DiscardHandler),
	})
	if b.asks {
		r.askFrom = 0
	}
	return r
}

// passes lets a holder pass n times, each some time after the last.
func (b *bench) passes(r *Reconciler, n int, check func()) {
	for range n {
		_ = r.Pass(b.t.Context()) // refusals, full weight store and ends of processes are wanted here
		check()
		b.now = b.now.Add(minDrain)
	}
}

// running counts the hosts that are paid for now, by failure domain.
func (b *bench) running() map[string]int {
	out := make(map[string]int)
	for _, line := range b.platform.Bill() {
		if line.Host.State != platform.HostTerminated {
			out[line.Host.FailureDomain]++
			out["all"]++
		}
	}
	return out
}

// ready counts the upstreams that take work for a model.
func (b *bench) ready(model ident.Model) int {
	n := 0
	for _, u := range b.registry.Upstreams() {
		if u.State == fleet.StateReady && u.Serves(model) {
			n++
		}
	}
	return n
}

func (b *bench) withinBudget() {
	perPool := make(map[cloud.Pool]int)
	for _, line := range b.platform.Bill() {
		h := line.Host
		if h.State != platform.HostTerminated {
			perPool[cloud.Pool{
				FailureDomain: ident.FailureDomain(h.FailureDomain), HostClass: ident.HostClass(h.HostClass), Market: cloud.Market(h.Market),
			}]++
		}
	}
	for _, row := range b.site.Capacity {
		require.LessOrEqual(b.t, perPool[poolOf(row)], row.MaxHosts, "more than the site pays for")
	}
}

// listingAndAsking runs a test at a site that lists all hosts, and at one that asks for single ones.
func listingAndAsking(t *testing.T, test func(*testing.T, bool)) {
	t.Helper()
	t.Run("listing", func(t *testing.T) { test(t, false) })
	t.Run("asking", func(t *testing.T) { test(t, true) })
}

func TestHolderThatEndsAnywhereStartsNoHostTwiceAndForgetsNone(t *testing.T) {
	listingAndAsking(t, holderEndsAnywhere)
}

func holderEndsAnywhere(t *testing.T, asks bool) {
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			b := newBench(t)
			b.asks = asks
			first := &plug{left: at, after: after}
			b.passes(b.process(first), 6, b.withinBudget)
			b.site.Models[0].Replicas = 2 // and two hosts are to be ended
			b.passes(b.process(&plug{}), 8, b.withinBudget)
			require.Equal(t, 2, b.running()["all"], "ended at call %d, after its effect: %t", at, after)
			require.Equal(t, 2, b.ready("m1"))
			require.LessOrEqual(t, len(b.platform.Bill()), 4, "ended at call %d: a host was started twice", at)
			if !first.dead {
				require.Greater(t, at, 8, "the plug met too few calls")
				break
			}
		}
	}
}

func TestLateStartOfAPausedHolderIsEnded(t *testing.T) {
	listingAndAsking(t, lateStartOfAPausedHolderIsEnded)
}

func lateStartOfAPausedHolderIsEnded(t *testing.T, asks bool) {
	b := newBench(t)
	b.asks = asks
	r := b.process(&plug{})
	b.passes(r, 3, b.withinBudget)
	pool := cloud.Pool{FailureDomain: "d1", HostClass: "small", Market: cloud.MarketReclaimable}
	stray, err := b.cloud.Start(t.Context(), cloud.Start{ClientToken: TokenPrefix + "forgotten", Pool: pool})
	require.NoError(t, err)
	foreign, err := b.cloud.Start(t.Context(), cloud.Start{ClientToken: "an entry host", Pool: pool})
	require.NoError(t, err)
	b.passes(r, 4, func() {})
	for _, line := range b.platform.Bill() {
		switch line.Host.ID {
		case string(stray.ID):
			require.Equal(t, platform.HostTerminated, line.Host.State)
		case string(foreign.ID):
			require.Equal(t, platform.HostRunning, line.Host.State, "a host of somebody else was ended")
		}
	}
	require.Equal(t, 5, b.running()["all"])
}

func TestReclaimWaveWithRefusedStartsGoesToOtherDomainsAndMarkets(t *testing.T) {
	listingAndAsking(t, reclaimWaveWithRefusedStartsGoesToOtherDomainsAndMarkets)
}

func reclaimWaveWithRefusedStartsGoesToOtherDomainsAndMarkets(t *testing.T, asks bool) {
	b := newBench(t)
	b.asks = asks
	b.site.Models = append(b.site.Models, config.Model{Name: "m2", Version: "v1", Replicas: 4, Priority: 1})
	r := b.process(&plug{})
	b.passes(r, 6, b.withinBudget) // two loads begin in a pass
	require.Equal(t, 4, b.ready("m1"))
	require.Equal(t, 4, b.ready("m2"))
	before := b.running()
	for _, domain := range []string{"d1", "d2", "d3"} {
		require.LessOrEqual(t, before[domain], 4, "spread for the loss of a domain: %v", before)
	}
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, Market: platform.MarketReclaimable})
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, FailureDomain: "d1"})
	require.Positive(t, b.platform.Reclaim("", "d1", "", 5*time.Second))
	b.passes(r, 1, b.withinBudget)
	for _, u := range b.registry.Upstreams() {
		require.False(t, u.FailureDomain == "d1" && u.State == fleet.StateReady, "a host with a notice still takes work")
	}
	b.passes(r, 6, b.withinBudget) // two loads begin in a pass
	require.Equal(t, 4, b.ready("m1"))
	require.Equal(t, 4, b.ready("m2"))
	require.Zero(t, b.running()["d1"])
}

func TestReplicasMoveBackToCheaperHostsWithoutLosingCapacity(t *testing.T) {
	b := newBench(t)
	refuse := platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, Market: platform.MarketReclaimable}
	b.platform.AddFault(refuse)
	r := b.process(&plug{})
	b.passes(r, 6, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
	require.InDelta(t, 12, b.costPerHour(), 0.01, "on demand while nothing else is to be had")
	b.platform.ClearFaults()
	b.passes(r, 60, func() {
		b.withinBudget()
		require.GreaterOrEqual(t, b.ready("m1"), 4, "capacity was lost")
	})
	require.InDelta(t, 4, b.costPerHour(), 0.01)
	started := len(b.platform.Bill())
	b.passes(r, 20, b.withinBudget)
	require.Len(t, b.platform.Bill(), started, "replicas go to and fro")
}

func TestScarceCapacityGoesToTheMostUrgentModel(t *testing.T) {
	b := newBench(t)
	for i := range b.site.Capacity {
		b.site.Capacity[i].MaxHosts = 0
	}
	b.site.Capacity[0].MaxHosts = 4
	b.site.Models = []config.Model{{Name: "low", Replicas: 4, Priority: 1}, {Name: "high", Replicas: 3, Priority: 9}}
	b.passes(b.process(&plug{}), 4, b.withinBudget)
	require.Equal(t, 3, b.ready("high"))
	require.Equal(t, 1, b.ready("low"))
}

func TestVersionIsRolledWithoutLosingCapacity(t *testing.T) {
	b := newBench(t)
	r := b.process(&plug{})
	b.passes(r, 4, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
	old := b.registry.Upstreams()
	b.site.Models[0].Version = "v2"
	b.passes(r, 30, func() {
		b.withinBudget()
		require.GreaterOrEqual(t, b.ready("m1"), 4, "capacity was lost")
	})
	require.Equal(t, 4, b.running()["all"])
	for _, u := range b.registry.Upstreams() {
		require.False(t, slices.ContainsFunc(old, func(o fleet.Upstream) bool { return o.ID == u.ID }), "an old version still runs")
	}
}

func TestWeightStoreRateIsKept(t *testing.T) {
	b := newBench(t)
	b.platform = nil
	now := time.Now()
	stand := platform.NewServer(platform.Options{Clock: func() time.Time { return now }, LoadsPerMinute: 6})
	server := httptest.NewServer(stand)
	defer server.Close()
	client := weights.NewClient(rest.NewClient(rest.Options{BaseURL: server.URL, CallsPerSecond: 1e6}), func() time.Time { return now })
	begun := 0
	for range 600 { // a minute
		err := client.Begin(t.Context(), weights.Load{Host: "h", Model: "m"})
		if err == nil {
			begun++
		} else {
			require.ErrorIs(t, err, weights.ErrBusy)
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.GreaterOrEqual(t, begun, 6)
	require.LessOrEqual(t, begun, 8, "the burst and six a minute")
	require.LessOrEqual(t, stand.Counts().Total, uint64(20), "a busy store was asked again and again")
}
