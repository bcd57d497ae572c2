package node

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/entry"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/guard"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/intake"
	"mangoledge.example/mangoledge/internal/logging"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/operator"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/placement"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/requestmetrics"
	"mangoledge.example/mangoledge/internal/retry"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/witness"
)

const (
	// updateInterval is the time between two updates of the router from fleet and members.
	updateInterval = 200 * time.Millisecond
	// witnessRetention is how long a finished record stays with its witness.
	witnessRetention = 10 * time.Minute
	// journalCapacity is the number of decisions that are kept for explain.
	journalCapacity = 20000
	// expireInterval is the time between two sweeps of the witness tables.
	expireInterval = 10 * time.Second
)

// Node is one running process.
type Node struct {
	settings *settings.Settings
	logger   *slog.Logger
	metrics  metrics.Registry
	self     ident.Incarnation

	peers      *peer.Client
	peerServer *peer.Server
	members    *membership.Cluster
	witness    *witness.Service
	control    *control
	router     *placement.Router
	dispatcher *dispatch.Dispatcher
	intake     *intake.Intake
	guard      *guard.Guard
	entry      *entry.Server
	operator   *http.Server
	journal    *explain.Journal
	orders     *operator.OrderService
	shows      *operator.ShowService

	drain    chan struct{}
	reclaim  chan time.Duration
	stop     context.CancelFunc
	running  sync.WaitGroup
	failures chan error
}

// New makes a node from settings, which logs to logs; Start makes it take part.
func New(s *settings.Settings, logs io.Writer) (*Node, error) {
	self := ident.NewIncarnation(s.Node, time.Now())
	n := &Node{
		settings: s,
		logger:   logging.New(logs, s.Log, s.Node, self),
		metrics:  metrics.NewRegistry(),
		self:     self,
		failures: make(chan error, 8),
		drain:    make(chan struct{}, 1),
		reclaim:  make(chan time.Duration, 1),
	}
	n.journal = explain.NewJournal(self, journalCapacity, time.Now)
	dialer := peer.Dialer{Token: s.PeerToken}
	n.peers = peer.NewClient(dialer)
	n.peerServer = peer.NewServer(s.PeerToken)
	if err := n.join(); err != nil {
		return nil, err
	}
	n.witness = witness.NewService(self, n.peers)
	n.control = newControl(n, dialer)
	n.router = placement.NewRouter(placement.Options{
		Members:     n.members,
		Fleet:       n.control.view,
		Calls:       n.peers,
		Logger:      n.logger,
		Policy:      routing.Cost{Weights: routing.WeightsFor(defaultLatencyWeight)},
		MarkLeaving: n.control.markLeaving,
	})
	if err := n.buildDispatcher(dialer); err != nil {
		return nil, err
	}
	return n, n.register()
}

// join opens the datagram socket and makes the member of this node.
func (n *Node) join() error {
	var listen net.ListenConfig
	conn, err := listen.ListenPacket(context.Background(), "udp", n.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "peerListen")
	}
	n.members = membership.New(membership.Options{
		Self: membership.Member{
			Incarnation:   n.self,
			Node:          n.settings.Node,
			Region:        n.settings.Region,
			FailureDomain: n.settings.FailureDomain,
			CallerURL:     n.settings.CallerURL,
			PeerAddress:   n.settings.PeerAdvertise,
		},
		Seeds:   n.settings.Seeds,
		Conn:    conn,
		Token:   n.settings.PeerToken,
		Logger:  n.logger,
		Metrics: n.metrics,
	})
	return nil
}

func (n *Node) buildDispatcher(dialer peer.Dialer) error {
	tokens, err := auth.NewTokens(n.settings.Tokens)
	if err != nil {
		return err
	}
	keep := time.Duration(n.settings.Limits.AddressKeepMs) * time.Millisecond
	book := entry.NewAddressBook(n.members, keep, n.control.stale)
	n.guard = guard.New(n.members, n.members, n.peers, n.logger)
	budget := retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
	n.intake = intake.New(n.control.manager)
	n.dispatcher = dispatch.New(dispatch.Options{
		Members:    n.members,
		Witness:    witness.NewClient(n.peers, n.members, n.witness),
		Router:     n.router,
		Admission:  n.intake,
		Guard:      n.guard,
		Retries:    retry.NewPolicy(budget, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), //nolint:gosec // spreads retries
		Budget:     budget,
		Journal:    n.journal,
		Engines:    engine.NewClient(),
		Services:   plainservice.NewClient(),
		Peers:      n.peers,
		Dialer:     dialer,
		Logger:     n.logger,
		MaxRunning: n.settings.Limits.MaxConcurrent,
	})
	handler := entry.NewHandler(requestmetrics.New(n.dispatcher, n.metrics), book, n.control.manager)
	n.entry, err = entry.NewServer(handler, tokens, &n.settings.Limits)
	if err != nil {
		return err
	}
	n.operator, err = newOperatorServer(n, tokens)
	return err
}

// register offers this node's services to the other nodes.
func (n *Node) register() error {
	if err := n.witness.Register(n.peerServer); err != nil {
		return err
	}
	if err := n.dispatcher.Register(n.peerServer); err != nil {
		return err
	}
	ledger := owner.NewService(n.router.Ledger(), time.Now)
	if err := n.peerServer.Register(owner.ServiceName, ledger); err != nil {
		return err
	}
	if err := n.peerServer.Register(explain.ServiceName, explain.NewService(n.journal)); err != nil {
		return err
	}
	if err := n.peerServer.Register(operator.OrderServiceName, n.orders); err != nil {
		return err
	}
	if err := n.peerServer.Register(operator.ShowServiceName, n.shows); err != nil {
		return err
	}
	if err := n.peerServer.Register(poison.ServiceName, n.guard.Service()); err != nil {
		return err
	}
	return n.control.register(n.peerServer)
}

// Start listens and takes part until Stop.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.stop = context.WithCancel(ctx)
	peers, err := listen(ctx, "peerListen", n.settings.PeerListen)
	if err != nil {
		return err
	}
	callers, err := n.listenOutside(ctx, "callerListen", n.settings.CallerListen)
	if err != nil {
		return err
	}
	operators, err := n.listenOutside(ctx, "operatorListen", n.settings.OperatorListen)
	if err != nil {
		return err
	}
	n.members.Start(ctx)
	n.dispatcher.Start()
	n.control.start(ctx)
	n.serve("peers", func() error { return n.peerServer.Serve(peers, nil) })
	n.serve("callers", func() error { return n.entry.Serve(callers) })
	n.serve("operators", func() error { return n.operator.Serve(operators) })
	n.loop(ctx, updateInterval, func() { n.router.Update(time.Now()) })
	n.loop(ctx, expireInterval, func() { n.witness.Expire(time.Now(), witnessRetention) })
	n.logger.Info("started", "callers", n.settings.CallerListen, "peers", n.settings.PeerListen)
	return nil
}

// Drains yields when an operator wants this node stopped by plan.
func (n *Node) Drains() <-chan struct{} {
	return n.drain
}

// Reclaims yields the notice that is left when this node's host is being reclaimed.
func (n *Node) Reclaims() <-chan time.Duration {
	return n.reclaim
}

func (n *Node) requestDrain() {
	select {
	case n.drain <- struct{}{}:
	default:
	}
}

func (n *Node) requestReclaim(notice time.Duration) {
	select {
	case n.reclaim <- notice:
	default:
	}
}

// Failures yields errors of listeners that ended by themselves.
func (n *Node) Failures() <-chan error {
	return n.failures
}

func (n *Node) serve(name string, run func() error) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		err := run()
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.failures <- errors.Wrap(err, name)
		}
	}()
}

// loop runs step at once and then again and again until ctx ends.
func (n *Node) loop(ctx context.Context, interval time.Duration, step func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			step()
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}
