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
	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/quota"
	"mangoledge.example/mangoledge/internal/gateway/rollout"
	"mangoledge.example/mangoledge/internal/gateway/routeplan"
	"mangoledge.example/mangoledge/internal/gateway/scaling"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/gateway/usage"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/lease"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/platform"
)

// Gateway is one gateway process of a node.
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
	usageCounter  *usage.Counter
	retryBudgets  *retryBudgets
	contentGuard  *contentGuard
	demandMeter   *demandMeter
	// rollouts is nil where versions are not ordered.
	rollouts      *rollout.Rollouts
	nodeRegistry  *peers.Registry
	peerTable     *peers.Table
	exchange      *peers.Messenger
	leaderLease   *lease.Lease
	usageReporter *usage.Reporter
	scaler        *scaling.Scaler
	idleConns     *idleConns
	// receiveBuffers is shared by the connections of clients and to upstreams.
	receiveBuffers *ingress.ReceiveBuffers
	ingress        *ingress.Account
	clientConns    *ingress.ConnTable
	// ingressRefused is the number of bodies and connections that had been refused when they were last
	// logged.
	ingressRefused int64

	// seeds are the control addresses of a few nodes from the current settings.
	seeds atomic.Pointer[[]string]
	// stopLeaderTasks stops the leader tasks on this node and releases the leader lease.
	stopLeaderTasks context.CancelFunc

	// watchingStore is true while this node watches the store itself; relayCursor tracks the node
	// it otherwise takes updates from.
	watchingStore atomic.Bool
	relayCursor   *relayCursor

	// loadsSummedAt is when the outstanding load of the other nodes was last summed. Only
	// handleMessage uses it.
	loadsSummedAt time.Time
	// timings tells which of the other nodes' timings are new. Only handleMessage uses it.
	timings profile.Inbox

	// restored is true once the checkpoint of earlier processes was read, or is known not to exist
	// or not to be decodable.
	restored atomic.Bool
	// checkpointWriter writes the checkpoint to the store.
	checkpointWriter *checkpointWriter
	// lastCheckpointAt is when this node last tried to write a checkpoint.
	lastCheckpointAt time.Time
	// storeEraSince is when the store was found in a later era, in nanoseconds since 1970; 0 if never.
	storeEraSince atomic.Int64

	// peerAddress is where this node receives messages from other nodes.
	peerAddress string
	// startedAt is when this process started.
	startedAt       time.Time
	messageSequence atomic.Uint64
	leaving         atomic.Bool
	// shutdown is the planned end of the process; nil until Stop is called.
	shutdown atomic.Pointer[exchange.Shutdown]
	// activeRequests counts the requests in progress.
	activeRequests atomic.Int64
	// reclaimNotices records when reclaimable upstreams last began to leave, by service and
	// failure domain.
	reclaimNotices *reclaimNotices
	servers        []*http.Server
}

// New returns a gateway that is not started yet.
func New(settings *site.Settings, logger *slog.Logger) (*Gateway, error) {
	// Incarnations order the processes of a node by start time.
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 16)
	receiveBuffers := ingress.NewReceiveBuffers(settings.MemoryMB)
	g := &Gateway{
		settings:       settings,
		incarnation:    incarnation,
		startedAt:      time.Now(),
		logger:         logger.With("node", settings.Node, "incarnation", incarnation),
		registry:       metrics.NewRegistry(),
		pool:           httpconn.NewPool(receiveBuffers),
		receiveBuffers: receiveBuffers,
		idleConns:      newIdleConns(),
		ingress:        ingress.NewAccount(ingress.Capacity(settings.MemoryMB), time.Now),
		clientConns:    ingress.NewConnTable(ingress.ClientConnLimits(settings.MaxDescriptors, settings.MemoryMB), receiveBuffers, time.Now),
		reclaimNotices: newReclaimNotices(time.Now),
		relayCursor:    newRelayCursor(),
		peerAddress:    joinPort(settings.IP, settings.PeerPorts[0]),
	}
	g.store = platform.NewStore(settings.Store.Address, g.pool, g.logger)
	g.store.OnCall = g.countStoreCall
	g.store.OnEra = g.handleStoreEra
	g.checkpointWriter = &checkpointWriter{store: g.store}
	g.cloud = platform.NewCloud(settings.Cloud.Address, settings.Node, g.pool)
	g.configuration = catalog.NewConfiguration(platform.DecodeConfig, g.logger)
	g.upstreams = catalog.NewUpstreams(platform.DecodeUpstream, g.logger, time.Now)
	g.balancer = balance.New(settings.FailureDomain, balance.MaxParts(settings.MemoryMB), time.Now, rand.Float64)
	g.quota = quota.New(clock.Boot, peers.PropagationInterval, settings.Bounds.QuotaWindow)
	g.usageCounter = usage.NewCounter(settings.Bounds.UsageWindow)
	g.retryBudgets = newRetryBudgets(settings.Bounds, g.sharingNodes, g.isFirstStart, clock.Boot, rand.Uint64)
	g.contentGuard = newContentGuard(time.Now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), g.logger)
	g.demandMeter = newDemandMeter(time.Now)
	g.rollouts = newRollouts(g)
	g.seeds.Store(&settings.Seeds)
	g.RegisterGauge("gateway.connections_made", g.pool.Dialed)
	g.registerIngressGauges()
	g.RegisterGauge("gateway.connections_reused", g.pool.Reused)
	g.RegisterGauge("gateway.requests_active", g.activeRequests.Load)
	g.RegisterGauge("gateway.config_version", g.configuration.Version)
	g.RegisterGauge("gateway.config_age_ms", func() int64 { return g.configuration.Age(time.Now()).Milliseconds() })
	g.RegisterGauge("gateway.store_age_ms", func() int64 { return g.upstreams.Age().Milliseconds() })
	g.RegisterGauge("gateway.store_outages", g.upstreams.Outages)
	g.RegisterGauge("gateway.contents_suspected", g.contentGuard.countSuspected)
	g.RegisterGauge("gateway.contents_convicted", g.contentGuard.countQuarantined)
	g.RegisterGauge("gateway.prompt_parts_suspected", g.contentGuard.countSuspectedParts)
	g.RegisterGauge("gateway.prompt_parts_refused", g.contentGuard.countGuiltyParts)
	g.RegisterGauge("gateway.rollouts_active", func() int64 { active, _ := g.rollouts.CountActive(); return active })
	g.RegisterGauge("gateway.rollouts_bad", func() int64 { _, bad := g.rollouts.CountActive(); return bad })
	g.RegisterGauge("gateway.upstreams_leaving", func() int64 { return int64(g.balancer.CountUnavailable(balance.Leaving)) })
	g.RegisterGauge("gateway.upstreams_quiet", func() int64 { return int64(g.balancer.CountUnavailable(balance.Quiet)) })
	for _, d := range []routeplan.Decision{routeplan.LeastCost, routeplan.CachedPrompt, routeplan.Shares} {
		name := projectmetrics.Name("gateway.upstreams_chosen", projectmetrics.Label{Name: "decision", Value: string(d)})
		g.RegisterGauge(name, func() int64 { return g.balancer.Decisions(d) })
	}
	g.RegisterGauge("gateway.load_figures_age_ms", func() int64 { return g.balancer.FiguresAge().Milliseconds() })
	g.RegisterGauge("gateway.nodes_sharing_repeats", func() int64 { return int64(g.sharingNodes()) })
	g.RegisterGauge("gateway.nodes_alive", func() int64 { return int64(len(g.peerTable.Alive())) })
	return g, g.initPeering()
}

// initPeering prepares the message exchange with other nodes and the leader tasks.
func (g *Gateway) initPeering() error {
	own := peers.Record{
		Incarnation: g.incarnation,
		Address:     g.peerAddress,
		Control:     g.settings.Listen.Control,
	}
	g.nodeRegistry = peers.NewRegistry(g.store, g.settings.Node, own, g.logger)
	g.peerTable = peers.NewTable(clock.Boot)
	g.upstreams.ReachableByPeers = g.storeReachableElsewhere
	var err error
	g.exchange, err = peers.Listen(own.Address, g.nodeRegistry, g.logger)
	if err != nil {
		return err
	}
	g.exchange.Compose = g.composeMessage
	g.exchange.PlanRound = g.planRound
	g.exchange.Has = g.peerTable.Has
	g.exchange.ForwardTargets = g.forwardTargets
	g.exchange.OnMessage = g.handleMessage
	g.leaderLease = newLeaderLease(g)
	g.cloud.MayOrder = g.mayOrder
	g.usageReporter = g.newReporter()
	g.scaler = g.newScaler()
	return nil
}

// countStoreCall counts a call to the platform's store in the metrics.
func (g *Gateway) countStoreCall(call string, kind objects.Kind) {
	name := projectmetrics.Name("gateway.store_calls_total",
		projectmetrics.Label{Name: "call", Value: call}, projectmetrics.Label{Name: "kind", Value: string(kind)})
	metrics.GetOrRegisterCounter(name, g.registry).Inc(1)
}

// RegisterGauge registers a function as a gauge in the metrics registry.
func (g *Gateway) RegisterGauge(name string, value func() int64) {
	// A name that is already registered keeps its gauge.
	_ = g.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// handler returns the HTTP handler for client requests.
func (g *Gateway) handler() http.Handler {
	return g.countActive(exchange.NewHandler(exchange.Options{
		Wire:          platform.Wire{},
		Configuration: g.configuration,
		Upstreams:     g.upstreams,
		Balancer:      g.balancer,
		Quota:         g.quota,
		Usage:         g.usageCounter,
		Budgets:       g.retryBudgets,
		Poison:        g.contentGuard,
		Demand:        g.demandMeter,
		Rollouts:      g.rollouts,
		Pool:          g.pool,
		Ingress:       g.ingress,
		Metrics:       exchange.NewMetrics(g.registry),
		Logger:        g.logger,
		Shutdown:      g.shutdown.Load,
		Durations:     exchange.NewDurations(),
		PlannedExits:  exchange.PlannedExits{DrainTime: g.settings.Bounds.DrainTime, ReportInterval: g.settings.Bounds.ReportInterval},
		MaxConfigAge:  g.settings.Bounds.ConfigInForce,
		Random:        rand.Float64,
		WallClock:     time.Now,
	}))
}

// countActive wraps next and counts the requests in progress.
func (g *Gateway) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.activeRequests.Add(1)
		defer g.activeRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Start opens the listeners and starts the background tasks. They end with ctx.
func (g *Gateway) Start(ctx context.Context) error {
	g.logger.Info("starting", "failure_domain", g.settings.FailureDomain, "first_start", g.settings.FirstStart)
	check := newLivenessCheck(g.pool.Probe, g.contentGuard.Unreachable, g.logger)
	check.mayProbe = func(u site.Upstream) bool {
		why, _ := g.balancer.Availability(u)
		return why == balance.Open
	}
	g.contentGuard.startLivenessCheck = func(u site.Upstream) { check.start(ctx, u) }
	if err := g.listen(ctx); err != nil {
		return err
	}
	go g.loadInitialState(ctx)
	go g.restore(ctx)
	go g.nodeRegistry.Run(ctx)
	go g.watchWhileNeeded(ctx)
	go g.relayFromPeers(ctx)
	go g.exchange.Run(ctx)
	go g.housekeeping(ctx)
	if g.rollouts != nil {
		go g.runRollouts(ctx)
	}
	var leaderCtx context.Context
	leaderCtx, g.stopLeaderTasks = context.WithCancel(ctx)
	go g.runLeaderTasks(leaderCtx)
	return nil
}
