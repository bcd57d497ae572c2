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

var errCrashed = errors.New("the process has crashed")

// crashPoint makes a simulated process crash at its nth call, before or after the call takes
// effect.
type crashPoint struct {
	mu sync.Mutex
	// callsLeft counts the calls up to and including the one at which the process crashes; 0 means
	// that it never does.
	callsLeft   int
	afterEffect bool
	crashed     bool
}

// call makes a call unless the process has crashed.
func (p *crashPoint) call(do func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed {
		return errCrashed
	}
	p.callsLeft--
	if p.callsLeft != 0 {
		return do()
	}
	p.crashed = true
	if p.afterEffect {
		_ = do()
	}
	return errCrashed
}

// crashingCloud is a cloud whose calls pass through a crashPoint.
type crashingCloud struct {
	cloud.API
	crash *crashPoint
}

func (c crashingCloud) Start(ctx context.Context, start cloud.Start) (out cloud.Host, err error) {
	err = c.crash.call(func() error { out, err = c.API.Start(ctx, start); return err })
	return out, err
}

func (c crashingCloud) Terminate(ctx context.Context, host ident.Host) error {
	return c.crash.call(func() error { return c.API.Terminate(ctx, host) })
}

// crashingStore is an object store whose writes pass through a crashPoint.
type crashingStore struct {
	objects.Store
	crash *crashPoint
}

func (s crashingStore) Create(ctx context.Context, o objects.Object) (out objects.Object, err error) {
	err = s.crash.call(func() error { out, err = s.Store.Create(ctx, o); return err })
	return out, err
}

func (s crashingStore) Update(ctx context.Context, o objects.Object) (out objects.Object, err error) {
	err = s.crash.call(func() error { out, err = s.Store.Update(ctx, o); return err })
	return out, err
}

// alwaysHeld is a lease that is always held, with fencing number 1.
type alwaysHeld struct{}

func (alwaysHeld) Check() (lease.Fence, error)         { return 1, nil }
func (alwaysHeld) CheckUnfenced() (lease.Fence, error) { return 1, nil }

// heldWithFence is a lease that is always held, with the given fencing number.
type heldWithFence lease.Fence

func (h heldWithFence) Check() (lease.Fence, error)         { return lease.Fence(h), nil }
func (h heldWithFence) CheckUnfenced() (lease.Fence, error) { return lease.Fence(h), nil }

// idleEngines accept every order and report no load.
type idleEngines struct{}

func (idleEngines) Load(context.Context, string, LoadOrder) error    { return nil }
func (idleEngines) SetRole(context.Context, string, RoleOrder) error { return nil }
func (idleEngines) Status(context.Context, string) (EngineLoad, error) {
	return EngineLoad{Slots: 8}, nil
}

// testSite is a site on a stand-in platform.
type testSite struct {
	t        testing.TB
	platform *platform.Server
	url      string
	store    objects.Store
	cloud    *cloud.Client
	registry *fleet.Registry
	now      time.Time
	tokens   int
	site     config.Site
	// currentSite is the newest version of the site, and currentSiteText its contents as text.
	currentSite     *config.Site
	currentSiteText string
	// markChanges is the sequence number of the newest reclaim notice, plus one for each extra
	// mark.
	markChanges uint64
	// extraMarks are marks other than those of reclaim notices; addMark increases markChanges for
	// each.
	extraMarks []fleet.Mark
	// lookups makes holders look up single hosts, which they otherwise do only at large sites.
	lookups bool
}

// Current returns an unchanging copy of the site, since tests modify the site in place.
func (s *testSite) Current() *config.Site {
	if text := fmt.Sprintf("%+v", s.site); s.currentSite == nil || text != s.currentSiteText {
		version := s.site
		version.Models, version.Capacity = slices.Clone(s.site.Models), slices.Clone(s.site.Capacity)
		version.Drains = slices.Clone(s.site.Drains)
		s.currentSite, s.currentSiteText = &version, text
	}
	return s.currentSite
}

// Changes returns the sequence number of the newest reclaim notice; each notice is a mark.
func (s *testSite) Changes() uint64 {
	notices, err := s.cloud.Notices(context.Background(), s.markChanges, 0)
	require.NoError(s.t, err)
	for _, notice := range notices {
		s.markChanges = max(s.markChanges, notice.Sequence)
	}
	return s.markChanges
}

// Marks returns a mark for each reclaim notice, and the extra marks.
func (s *testSite) Marks() []fleet.Mark {
	notices, err := s.cloud.Notices(context.Background(), 0, 0)
	require.NoError(s.t, err)
	out := make([]fleet.Mark, 0, len(notices))
	for _, notice := range notices {
		at := time.UnixMilli(notice.ReclaimAtMs)
		out = append(out, fleet.Mark{Subject: fleet.Subject{Host: notice.Host}, At: at, Source: fleet.SourceNotice, ReclaimAt: at})
	}
	return append(out, s.extraMarks...)
}

func newTestSite(t testing.TB) *testSite {
	t.Helper()
	return newTestSiteWithDomains(t, 3)
}

// newTestSiteWithDomains returns a site with the given number of failure domains.
func newTestSiteWithDomains(t testing.TB, domains int) *testSite {
	t.Helper()
	s := &testSite{t: t, now: time.Now()}
	s.platform = platform.NewServer(platform.Options{Seed: 1, Clock: func() time.Time { return s.now }, LoadsPerMinute: 6000})
	server := httptest.NewServer(s.platform)
	t.Cleanup(server.Close)
	s.url = server.URL
	s.useBudget(objects.NewBudget(1e6, 1000))
	calls := rest.NewClient(rest.Options{BaseURL: s.url, CallsPerSecond: 1e6})
	t.Cleanup(calls.Close)
	s.cloud = cloud.NewClient(calls)
	s.site = config.Site{Models: []config.Model{{Name: "m1", Version: "v1", Replicas: 4, Priority: 5}}}
	var offers []platform.Offer
	for d := range domains {
		domain := fmt.Sprintf("d%d", d+1)
		s.addPool(&offers, domain, platform.MarketReclaimable, 1)
		s.addPool(&offers, domain, platform.MarketOnDemand, 3)
		addresses := make([]string, 0, 20)
		for a := range 20 {
			addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:9000", d, a))
		}
		s.platform.SetAddresses(domain, addresses)
	}
	s.platform.SetOffers(offers)
	return s
}

// useBudget sets the budget of store calls for the site's holder.
func (s *testSite) useBudget(budget *objects.Budget) {
	store := objects.NewClient(objects.Options{BaseURL: s.url, Budget: budget})
	s.t.Cleanup(store.Close)
	s.store = store
	s.registry = fleet.NewRegistry(store, relay.New(relay.Options{Store: store}), slog.New(slog.DiscardHandler))
}

func (s *testSite) addPool(offers *[]platform.Offer, domain string, market platform.Market, price float64) {
	*offers = append(*offers, platform.Offer{
		FailureDomain: domain, HostClass: "small", Market: market, PricePerHour: price, Available: 20,
	})
	s.site.Capacity = append(s.site.Capacity, config.Capacity{
		FailureDomain: ident.FailureDomain(domain), HostClass: "small", MaxHosts: 4,
		MaxPricePerHour: price, Reclaimable: market == platform.MarketReclaimable,
	})
}

// newHolder returns a new holder of the lease, whose process crashes at p.
func (s *testSite) newHolder(p *crashPoint) *Reconciler {
	calls := rest.NewClient(rest.Options{BaseURL: s.url, CallsPerSecond: 1e6})
	s.t.Cleanup(calls.Close)
	clock := func() time.Time { return s.now }
	r := New(Options{
		Store: crashingStore{s.store, p}, Lease: alwaysHeld{}, Cloud: crashingCloud{s.cloud, p},
		Weights: weights.NewClient(calls, clock), Engines: idleEngines{}, Registry: s.registry, Site: s, Marks: s,
		RegionOf: func(ident.FailureDomain) ident.Region { return "r" },
		NewToken: func() string { s.tokens++; return fmt.Sprintf("t%d", s.tokens) },
		Clock:    clock, Logger: slog.New(slog.DiscardHandler),
	})
	if s.lookups {
		r.lookupMinHosts = 0
	}
	return r
}

// passes runs n passes, with minDrain after each.
func (s *testSite) passes(r *Reconciler, n int, check func()) {
	for range n {
		_ = r.Pass(s.t.Context()) // tests provoke refused starts, a busy weight store and crashes
		check()
		s.now = s.now.Add(minDrain)
	}
}

// runningByDomain counts the hosts that are billed now, by failure domain; the key "all" has the
// total.
func (s *testSite) runningByDomain() map[string]int {
	out := make(map[string]int)
	for _, line := range s.platform.Bill() {
		if line.Host.State != platform.HostTerminated {
			out[line.Host.FailureDomain]++
			out["all"]++
		}
	}
	return out
}

// readyUpstreams counts the upstreams that take work for a model.
func (s *testSite) readyUpstreams(model ident.Model) int {
	n := 0
	for _, u := range s.registry.Upstreams() {
		if u.State == fleet.StateReady && u.Serves(model) {
			n++
		}
	}
	return n
}

func (s *testSite) requireWithinMaxHosts() {
	perPool := make(map[cloud.Pool]int)
	for _, line := range s.platform.Bill() {
		h := line.Host
		if h.State != platform.HostTerminated {
			perPool[cloud.Pool{
				FailureDomain: ident.FailureDomain(h.FailureDomain), HostClass: ident.HostClass(h.HostClass), Market: cloud.Market(h.Market),
			}]++
		}
	}
	for _, row := range s.site.Capacity {
		require.LessOrEqual(s.t, perPool[poolOf(row)], row.MaxHosts, "more hosts of a pool run than the site allows")
	}
}
