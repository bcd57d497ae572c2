package slopes

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/capacity"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/platform/weights"
	"mangoledge.example/mangoledge/internal/relay"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	// reconcilePasses is how many passes with nothing to do are measured, with and without
	// a list of hosts.
	reconcilePasses = 5
	// passInterval is how far the measurement's clock advances before a pass that does not
	// list the hosts.
	passInterval = 2 * time.Second
	// listPassInterval is how far the measurement's clock advances before a pass that lists
	// the hosts.
	listPassInterval = 10 * time.Minute
	// eventPasses is how many passes, at passInterval, follow the notice of one host. They
	// last until the host is ended and checked once more, and end before the next regular
	// list of hosts.
	eventPasses = 25
	// eventNotice is the time from that host's notice to its end.
	eventNotice = time.Minute
	// maxStartPasses limits the passes until every replica is ready.
	maxStartPasses = 60
	// startPassInterval is how far the measurement's clock advances between two passes of
	// the start.
	startPassInterval = 10 * time.Second
	// reconcileTimeout limits one measurement.
	reconcileTimeout = 2 * time.Minute
)

var (
	errNotReady = errors.New("the replicas did not get ready")
	errNoHost   = errors.New("no host had its notice")
	errNotEnded = errors.New("the host that had its notice was not ended")
)

// stubSpreader is the rumour interface of a node without other nodes.
type stubSpreader struct{}

func (stubSpreader) Publish(membership.Topic, string, uint64, []byte) error { return nil }
func (stubSpreader) Subscribe(membership.Topic, func(membership.Rumour))    {}

// stubLease is a lease that is always held.
type stubLease struct{}

func (stubLease) Check() (lease.Fence, error)         { return 1, nil }
func (stubLease) CheckUnfenced() (lease.Fence, error) { return 1, nil }

// stubEngines accept every order and report no load.
type stubEngines struct{}

func (stubEngines) Load(context.Context, string, capacity.LoadOrder) error { return nil }
func (stubEngines) SetRole(context.Context, string, capacity.RoleOrder) error {
	return nil
}

func (stubEngines) Status(context.Context, string) (capacity.EngineLoad, error) {
	return capacity.EngineLoad{Slots: upstreamSlots}, nil
}

// stubWeights let every load of weights begin at once.
type stubWeights struct{}

func (stubWeights) Begin(context.Context, weights.Load) error { return nil }

// reconcileSite is a reconciler with a stand-in of the platform.
type reconcileSite struct {
	platform   *platform.Server
	listener   *countingListener
	server     *http.Server
	registry   *fleet.Registry
	leaving    *fleet.LeavingMarks
	reconciler *capacity.Reconciler
	clock      time.Time
	site       config.Site
	closers    []func()
}

// Current implements config.View.
func (s *reconcileSite) Current() *config.Site { return &s.site }

// newReconcileSite returns a reconciler that has to run the given number of replicas, none
// of which has started.
func newReconcileSite(replicas int) (*reconcileSite, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // does not block
	if err != nil {
		return nil, err
	}
	s := &reconcileSite{clock: time.Now(), listener: &countingListener{Listener: inner}}
	s.platform = platform.NewServer(platform.Options{Seed: 1, Clock: func() time.Time { return s.clock }})
	s.server = &http.Server{Handler: s.platform, ReadHeaderTimeout: engineReadTimeout}
	go func() { _ = s.server.Serve(s.listener) }() // returns when the server is closed
	s.declareSite(replicas)
	url := "http://" + inner.Addr().String()
	store := objects.NewClient(objects.Options{BaseURL: url, Budget: objects.NewBudget(ampleBudget, ampleBudget)})
	calls := rest.NewClient(rest.Options{BaseURL: url, CallsPerSecond: ampleBudget})
	s.closers = append(s.closers, store.Close, calls.Close)
	logger := slog.New(slog.DiscardHandler)
	s.registry = fleet.NewRegistry(store, relay.New(relay.Options{Store: store}), logger)
	s.leaving = fleet.NewLeavingMarks(stubSpreader{}, func() time.Time { return s.clock })
	tokens := 0
	s.reconciler = capacity.New(capacity.Options{
		Store: store, Lease: stubLease{}, Cloud: cloud.NewClient(calls),
		Weights: stubWeights{}, Engines: stubEngines{}, Registry: s.registry, Site: s, Marks: s.leaving,
		RegionOf: func(ident.FailureDomain) ident.Region { return "region-0" },
		NewToken: func() string { tokens++; return fmt.Sprintf("%026d", tokens) },
		Clock:    func() time.Time { return s.clock }, Logger: logger,
	})
	return s, nil
}

// declareSite configures models with the given number of replicas, and failure domains
// with room for all of them.
func (s *reconcileSite) declareSite(replicas int) {
	each := replicas/domains + 2
	s.site = config.Site{}
	for n := range siteModels {
		share := replicas / siteModels
		if n < replicas%siteModels {
			share++
		}
		s.site.Models = append(s.site.Models, config.Model{Name: modelN(n), Version: "v1", Replicas: share, Priority: 5})
	}
	var offers []platform.Offer
	for d := range domains {
		domain := fmt.Sprintf("domain-%02d", d)
		offers = append(offers, platform.Offer{FailureDomain: domain, HostClass: "class-1", Market: platform.MarketReclaimable, PricePerHour: 1, Available: each})
		s.site.Capacity = append(s.site.Capacity, config.Capacity{
			FailureDomain: ident.FailureDomain(domain), HostClass: "class-1", MaxHosts: each, MaxPricePerHour: 1, Reclaimable: true,
		})
		var addresses []string
		for n := range each {
			addresses = append(addresses, fmt.Sprintf("10.%d.%d.%d:9001", d, n/250, n%250))
		}
		s.platform.SetAddresses(domain, addresses)
	}
	s.platform.SetOffers(offers)
}

// stop closes the clients and the platform.
func (s *reconcileSite) stop() {
	for _, closer := range s.closers {
		closer()
	}
	_ = s.server.Close()
}

// startReplicas makes passes until every replica is ready.
func (s *reconcileSite) startReplicas(ctx context.Context, replicas int) error {
	var last error
	for range maxStartPasses {
		last = s.reconciler.Pass(ctx)
		s.clock = s.clock.Add(startPassInterval)
		ready := 0
		for _, u := range s.registry.Upstreams() {
			if u.State == fleet.StateReady {
				ready++
			}
		}
		if ready == replicas {
			return nil
		}
	}
	return errors.CombineErrors(errNotReady, last)
}

// measureReconcilers measures the passes of the lease holder over a tenth and a fifth of
// the large site's replicas.
func measureReconcilers() ([]Figure, error) {
	var out []Figure
	for _, replicas := range []int{siteUpstreams / 10, siteUpstreams / 5} {
		figures, err := measureReconciler(replicas)
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return out, nil
}

// measureReconciler measures the start of the replicas, passes with nothing to do and the
// loss of a host.
func measureReconciler(replicas int) ([]Figure, error) {
	before := readUsage(true)
	s, err := newReconcileSite(replicas)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), reconcileTimeout)
	defer cancel()
	if err := s.startReplicas(ctx, replicas); err != nil {
		return nil, err
	}
	started := readUsage(true)
	listing, err := s.measurePasses(ctx, listPassInterval)
	if err != nil {
		return nil, err
	}
	quiet, err := s.measurePasses(ctx, passInterval)
	if err != nil {
		return nil, err
	}
	reclaimBytes, err := s.reclaimHost(ctx)
	how := fmt.Sprintf("a pass over %d replicas that all run, one a host, between two lists of hosts, the stand-in's share included", replicas)
	listHow := fmt.Sprintf("a pass over %d replicas that all run, one a host, with a list of hosts, the stand-in's share included", replicas)
	name := func(what string) string { return fmt.Sprintf("reconciler.%s.%d", what, replicas) }
	return []Figure{
		{Name: name("start_cpu"), Value: (started.processor - before.processor).Seconds() * 1000 / float64(replicas), Unit: unitMilliseconds, How: "of processor time a replica, from nothing until all run, the stand-in's share included"},
		{Name: name("pass"), Value: quiet.processor, Unit: unitMicroseconds, How: how},
		{Name: name("pass_bytes"), Value: quiet.bytes, Unit: unitBytes, How: how + ", both directions, without TCP headers"},
		{Name: name("pass_calls"), Value: quiet.calls, Unit: unitCount, How: how},
		{Name: name("list_pass"), Value: listing.processor, Unit: unitMicroseconds, How: listHow},
		{Name: name("list_pass_bytes"), Value: listing.bytes, Unit: unitBytes, How: listHow + ", both directions, without TCP headers"},
		{Name: name("event_bytes"), Value: reclaimBytes, Unit: unitBytes, How: fmt.Sprintf("one of %d hosts gets its notice, is replaced and ended, all passes of %v together, both directions, without TCP headers", replicas, eventPasses*passInterval)},
	}, err
}

// passCost is the mean cost of a pass.
type passCost struct {
	// processor is in microseconds; calls counts the calls to the platform.
	processor float64
	bytes     float64
	calls     float64
}

// measurePasses makes reconcilePasses passes and returns their mean cost. The
// measurement's clock advances by step before each.
func (s *reconcileSite) measurePasses(ctx context.Context, step time.Duration) (passCost, error) {
	var err error
	bytesBefore, callsBefore := s.listener.bytes.Load(), s.platform.Counts().Total
	processor := processorTimePerCall(reconcilePasses, func(int) {
		s.clock = s.clock.Add(step)
		err = firstError(err, s.reconciler.Pass(ctx))
	})
	return passCost{
		processor: processor,
		bytes:     float64(s.listener.bytes.Load()-bytesBefore) / reconcilePasses,
		calls:     float64(s.platform.Counts().Total-callsBefore) / reconcilePasses,
	}, err
}

// reclaimHost gives one host its notice and returns the bytes that the platform calls move
// until it is replaced and ended.
func (s *reconcileSite) reclaimHost(ctx context.Context) (bytes float64, err error) {
	s.clock = s.clock.Add(listPassInterval)
	if err := s.reconciler.Pass(ctx); err != nil {
		return 0, err
	}
	host := s.registry.Upstreams()[0].Host
	bytesBefore := s.listener.bytes.Load()
	if s.platform.Reclaim(string(host), "", "", eventNotice) != 1 {
		return 0, errNoHost
	}
	if err := s.leaving.MarkReclaim(host, s.clock, s.clock.Add(eventNotice)); err != nil {
		return 0, err
	}
	for range eventPasses {
		s.clock = s.clock.Add(passInterval)
		err = firstError(err, s.reconciler.Pass(ctx))
	}
	for _, u := range s.registry.Upstreams() {
		if u.Host == host {
			err = firstError(err, errNotEnded)
		}
	}
	return float64(s.listener.bytes.Load() - bytesBefore), err
}
