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
	// reconcilePasses is how many passes with nothing to do are measured, of each kind.
	reconcilePasses = 5
	// quietStep passes on the measurement's clock before a pass that lists no hosts.
	quietStep = 2 * time.Second
	// listStep passes on the measurement's clock before a pass that lists the hosts.
	listStep = 10 * time.Minute
	// eventPasses is how many passes, each quietStep after the last, follow the notice of one
	// host: until it is ended and looked at once more, and before the interval's list.
	eventPasses = 25
	// eventNotice is how long before its end that host gets its notice.
	eventNotice = time.Minute
	// maxStartPasses bounds the passes until every replica is ready.
	maxStartPasses = 60
	// reconcileStep passes on the measurement's clock between two passes.
	reconcileStep = 10 * time.Second
	// reconcileLimit bounds one measurement.
	reconcileLimit = 2 * time.Minute
)

var (
	errNotReady = errors.New("the replicas did not get ready")
	errNoHost   = errors.New("no host had its notice")
	errNotEnded = errors.New("the host that had its notice was not ended")
)

// nobody is a spreader without other nodes.
type nobody struct{}

func (nobody) Publish(membership.Topic, string, uint64, []byte) error { return nil }
func (nobody) Subscribe(membership.Topic, func(membership.Rumour))    {}

// alwaysHeld is a lease that this process holds.
type alwaysHeld struct{}

func (alwaysHeld) Check() (lease.Fence, error)         { return 1, nil }
func (alwaysHeld) CheckUnfenced() (lease.Fence, error) { return 1, nil }

// willingEngines take every order and have nothing to do.
type willingEngines struct{}

func (willingEngines) Load(context.Context, string, capacity.LoadOrder) error { return nil }
func (willingEngines) SetRole(context.Context, string, capacity.RoleOrder) error {
	return nil
}

func (willingEngines) Status(context.Context, string) (capacity.EngineLoad, error) {
	return capacity.EngineLoad{Slots: upstreamSlots}, nil
}

// freeWeights let every load begin at once.
type freeWeights struct{}

func (freeWeights) Begin(context.Context, weights.Load) error { return nil }

// reconcileSite is a reconciler before a stand-in of the platform.
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

func newReconcileSite(replicas int) (*reconcileSite, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // opens at once
	if err != nil {
		return nil, err
	}
	s := &reconcileSite{clock: time.Now(), listener: &countingListener{Listener: inner}}
	s.platform = platform.NewServer(platform.Options{Seed: 1, Clock: func() time.Time { return s.clock }})
	s.server = &http.Server{Handler: s.platform, ReadHeaderTimeout: engineReadTimeout}
	go func() { _ = s.server.Serve(s.listener) }() // ends with the server
	s.declare(replicas)
	url := "http://" + inner.Addr().String()
	store := objects.NewClient(objects.Options{BaseURL: url, Budget: objects.NewBudget(ampleBudget, ampleBudget)})
	calls := rest.NewClient(rest.Options{BaseURL: url, CallsPerSecond: ampleBudget})
	s.closers = append(s.closers, store.Close, calls.Close)
	logger := slog.New(slog.DiscardHandler)
	s.registry = fleet.NewRegistry(store, relay.New(relay.Options{Store: store}), logger)
	s.leaving = fleet.NewLeavingMarks(nobody{}, func() time.Time { return s.clock })
	tokens := 0
	s.reconciler = capacity.New(capacity.Options{
		Store: store, Lease: alwaysHeld{}, Cloud: cloud.NewClient(calls),
		Weights: freeWeights{}, Engines: willingEngines{}, Registry: s.registry, Site: s, Marks: s.leaving,
		RegionOf: func(ident.FailureDomain) ident.Region { return "region-0" },
		NewToken: func() string { tokens++; return fmt.Sprintf("%026d", tokens) },
		Clock:    func() time.Time { return s.clock }, Logger: logger,
	})
	return s, nil
}

// declare makes a site whose failure domains have room for all replicas.
func (s *reconcileSite) declare(replicas int) {
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

func (s *reconcileSite) stop() {
	for _, closer := range s.closers {
		closer()
	}
	_ = s.server.Close()
}

// start passes until every replica is ready.
func (s *reconcileSite) start(ctx context.Context, replicas int) error {
	var last error
	for range maxStartPasses {
		last = s.reconciler.Pass(ctx)
		s.clock = s.clock.Add(reconcileStep)
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

// reconcilers measures passes of the lease holder over replicas that all run.
func reconcilers() ([]Figure, error) {
	var out []Figure
	for _, replicas := range []int{siteUpstreams / 10, siteUpstreams / 5} {
		figures, err := reconcilerWith(replicas)
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return out, nil
}

func reconcilerWith(replicas int) ([]Figure, error) {
	before := now(true)
	s, err := newReconcileSite(replicas)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), reconcileLimit)
	defer cancel()
	if err := s.start(ctx, replicas); err != nil {
		return nil, err
	}
	started := now(true)
	listing, err := s.measure(ctx, listStep)
	if err != nil {
		return nil, err
	}
	quiet, err := s.measure(ctx, quietStep)
	if err != nil {
		return nil, err
	}
	event, err := s.loseHost(ctx)
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
		{Name: name("event_bytes"), Value: event, Unit: unitBytes, How: fmt.Sprintf("one of %d hosts gets its notice, is replaced and ended, all passes of %v together, both directions, without TCP headers", replicas, eventPasses*quietStep)},
	}, err
}

// passCost is what one pass costs.
type passCost struct {
	// processor is in microseconds.
	processor float64
	bytes     float64
	calls     float64
}

// measure makes passes, each some time after the last.
func (s *reconcileSite) measure(ctx context.Context, step time.Duration) (passCost, error) {
	var err error
	moved, calls := s.listener.bytes.Load(), s.platform.Counts().Total
	processor := cost(reconcilePasses, func(int) {
		s.clock = s.clock.Add(step)
		err = firstError(err, s.reconciler.Pass(ctx))
	})
	return passCost{
		processor: processor,
		bytes:     float64(s.listener.bytes.Load()-moved) / reconcilePasses,
		calls:     float64(s.platform.Counts().Total-calls) / reconcilePasses,
	}, err
}

// loseHost lets one host have its notice and returns the bytes until it is replaced and ended.
func (s *reconcileSite) loseHost(ctx context.Context) (bytes float64, err error) {
	s.clock = s.clock.Add(listStep)
	if err := s.reconciler.Pass(ctx); err != nil {
		return 0, err
	}
	host := s.registry.Upstreams()[0].Host
	moved := s.listener.bytes.Load()
	if s.platform.Reclaim(string(host), "", "", eventNotice) != 1 {
		return 0, errNoHost
	}
	if err := s.leaving.MarkReclaim(host, s.clock, s.clock.Add(eventNotice)); err != nil {
		return 0, err
	}
	for range eventPasses {
		s.clock = s.clock.Add(quietStep)
		err = firstError(err, s.reconciler.Pass(ctx))
	}
	for _, u := range s.registry.Upstreams() {
		if u.Host == host {
			err = firstError(err, errNotEnded)
		}
	}
	return float64(s.listener.bytes.Load() - moved), err
}
