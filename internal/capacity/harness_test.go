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
