package server

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/clock"
	"mangoledge.example/mangoledge/internal/gateway/exchange"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/gateway/quota"
	"mangoledge.example/mangoledge/internal/gateway/scaling"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/gateway/usage"
	"mangoledge.example/mangoledge/internal/lease"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/platform"
)

// Gateway is one process.
type Gateway struct {
	settings    *site.Settings
	incarnation string
	logger      *slog.Logger
	registry    metrics.Registry

	pool          *httpconn.Pool
	store         *platform.Store
	cloud         *platform.Cloud
	configuration *catalog.Configuration
	upstreams     *catalog.Upstreams
	balancer      *balance.Balancer
	quota         *quota.Ledger
	counter       *usage.Counter
	budgets       *budgets
	poison        *contentGuard
	demand        *demandMeter
	nodes         *peers.Registry
	table         *peers.Table
	exchange      *peers.Exchange
	duty          *lease.Lease
	reporter      *usage.Reporter
	scaler        *scaling.Scaler
	idle          *idleConns

	// seeds are control addresses of a few nodes, as the settings have them now.
	seeds atomic.Pointer[[]string]
	// releaseDuty ends this node's part in the duties and gives up its lease.
	releaseDuty context.CancelFunc

	// watching is true while this node follows the store itself; follower is what it
	// knows of the node that it follows otherwise.
	watching atomic.Bool
	follower *follower

	// loadsSummed is when the open work of the other nodes was added up; of the receiver alone.
	loadsSummed time.Time

	// restored is true once the checkpoint of earlier processes was read, or there is none.
	restored atomic.Bool
	// checkpoints writes what was spent.
	checkpoints *checkpointWriter
	// checkpointed is when this node last wrote what was spent.
	checkpointed time.Time

	// address is where this node takes messages.
	address string
	// started is when this process started.
	started  time.Time
	sequence atomic.Uint64
	leaving  atomic.Bool
	// active counts the requests in progress.
	active atomic.Int64
	// notices is when each failure domain was last seen to lose reclaimable upstreams.
	notices *noticeBoard
	servers []*http.Server
}

// New returns a process that is not started.
func New(settings *site.Settings, logger *slog.Logger) (*Gateway, error) {
	// The incarnation orders the processes of a node by their start.
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 16)
	g := &Gateway{
		settings:    settings,
		incarnation: incarnation,
		started:     time.Now(),
		logger:      logger.With("node", settings.Node, "incarnation", incarnation),
		registry:    metrics.NewRegistry(),
		pool:        httpconn.NewPool(),
		idle:        newIdleConns(),
		notices:     newNoticeBoard(time.Now),
		follower:    newFollower(),
		address:     joinPort(settings.IP, settings.PeerPorts[0]),
	}
	g.store = platform.NewStore(settings.Store.Address, g.pool, g.logger)
	g.store.Called = g.countStoreCall
	g.checkpoints = &checkpointWriter{store: g.store}
	g.cloud = platform.NewCloud(settings.Cloud.Address, settings.Node, g.pool)
	g.configuration = catalog.NewConfiguration(platform.DecodeConfig, g.logger)
	g.upstreams = catalog.NewUpstreams(platform.DecodeUpstream, g.logger, time.Now)
	g.balancer = balance.New(settings.FailureDomain, time.Now)
	g.quota = quota.New(clock.Boot, peers.Interval, settings.Bounds.QuotaWindow)
	g.counter = usage.NewCounter(settings.Bounds.UsageWindow)
	g.budgets = newBudgets(settings.Bounds, g.sharers, g.first, clock.Boot, rand.Uint64)
	g.poison = newContentGuard(time.Now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), g.logger)
	g.demand = newDemandMeter(time.Now)
	g.seeds.Store(&settings.Seeds)
	g.Gauge("gateway.connections_made", g.pool.Dialed)
	g.Gauge("gateway.connections_reused", g.pool.Reused)
	g.Gauge("gateway.requests_active", g.active.Load)
	g.Gauge("gateway.config_version", g.configuration.Version)
	g.Gauge("gateway.config_age_ms", func() int64 { return g.configuration.Age(time.Now()).Milliseconds() })
	g.Gauge("gateway.store_age_ms", func() int64 { return g.upstreams.Age().Milliseconds() })
	g.Gauge("gateway.contents_suspected", g.poison.suspected)
	g.Gauge("gateway.contents_convicted", g.poison.convicted)
	g.Gauge("gateway.upstreams_leaving", func() int64 { return int64(g.balancer.CountClosed(balance.Leaving)) })
	g.Gauge("gateway.upstreams_quiet", func() int64 { return int64(g.balancer.CountClosed(balance.Quiet)) })
	g.Gauge("gateway.nodes_sharing_repeats", func() int64 { return int64(g.sharers()) })
	g.Gauge("gateway.nodes_alive", func() int64 { return int64(len(g.table.Alive())) })
	return g, g.join()
}

// join prepares the exchange with other nodes and the duties.
func (g *Gateway) join() error {
	own := peers.Record{
		Incarnation: g.incarnation,
		Address:     g.address,
		Control:     g.settings.Listen.Control,
	}
	g.nodes = peers.NewRegistry(g.store, g.settings.Node, own, g.logger)
	g.table = peers.NewTable(clock.Boot)
	g.upstreams.ReachableElsewhere = g.storeReachableElsewhere
	var err error
	g.exchange, err = peers.Listen(own.Address, g.nodes, g.logger)
	if err != nil {
		return err
	}
	g.exchange.Compose = g.compose
	g.exchange.Wants = g.wants
	g.exchange.Received = g.received
	g.duty = newDuty(g)
	g.reporter = g.newReporter()
	g.scaler = g.newScaler()
	return nil
}

// countStoreCall counts a call of the platform's store.
func (g *Gateway) countStoreCall(call string, kind objects.Kind) {
	name := projectmetrics.Name("gateway.store_calls",
		projectmetrics.Label{Name: "call", Value: call}, projectmetrics.Label{Name: "kind", Value: string(kind)})
	metrics.GetOrRegisterCounter(name, g.registry).Inc(1)
}

// Gauge shows a value among the metrics.
func (g *Gateway) Gauge(name string, value func() int64) {
	// A name that is taken already keeps its value.
	_ = g.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// handler returns what answers clients.
func (g *Gateway) handler() http.Handler {
	return g.counted(exchange.NewHandler(exchange.Options{
		Wire:          platform.Wire{},
		Configuration: g.configuration,
		Upstreams:     g.upstreams,
		Balancer:      g.balancer,
		Quota:         g.quota,
		Usage:         g.counter,
		Budgets:       g.budgets,
		Poison:        g.poison,
		Demand:        g.demand,
		Pool:          g.pool,
		Metrics:       exchange.NewMetrics(g.registry),
		Logger:        g.logger,
		Leaving:       g.leaving.Load,
		ConfigFresh:   g.settings.Bounds.ConfigInForce,
		Random:        rand.Float64,
		WallClock:     time.Now,
	}))
}

// counted counts the requests in progress.
func (g *Gateway) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Start opens the listeners and begins to follow the platform. ctx ends all of it.
func (g *Gateway) Start(ctx context.Context) error {
	g.logger.Info("starting", "failure_domain", g.settings.FailureDomain, "first_start", g.settings.FirstStart)
	check := newDeathCheck(g.pool.Probe, g.poison.Unreachable, g.logger)
	check.open = func(u site.Upstream) bool {
		why, _ := g.balancer.Closed(u)
		return why == balance.Open
	}
	g.poison.check = func(u site.Upstream) { check.start(ctx, u) }
	if err := g.listen(ctx); err != nil {
		return err
	}
	go g.readOnce(ctx)
	go g.restore(ctx)
	go g.nodes.Run(ctx)
	go g.watchWhileNeeded(ctx)
	go g.relay(ctx)
	go g.exchange.Run(ctx)
	go g.housekeeping(ctx)
	var duties context.Context
	duties, g.releaseDuty = context.WithCancel(ctx)
	go g.duties(duties)
	return nil
}
