package node

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/entry"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/guard"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/intake"
	"mangoledge.example/mangoledge/internal/logging"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/observe"
	"mangoledge.example/mangoledge/internal/operator"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/placement"
	"mangoledge.example/mangoledge/internal/request"
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
	// observeInterval is the time between two looks at the upstreams that this node owns.
	observeInterval = time.Second
	// expireInterval is the time between two sweeps of the witness tables.
	expireInterval = 10 * time.Second
)

// Node is one running process.
type Node struct {
	settings *settings.Settings
	logger   *slog.Logger
	metrics  metrics.Registry
	self     ident.Incarnation
	// born is when this incarnation was made.
	born time.Time

	peers      *peer.Client
	peerServer *peer.Server
	// peerTLS is nil when nodes talk over plain TCP.
	peerTLS    *tls.Config
	members    *membership.Cluster
	witness    *witness.Service
	control    *control
	router     *placement.Router
	observer   *observe.Observer
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
	born := time.Now()
	self := ident.NewIncarnation(s.Node, born)
	n := &Node{
		settings: s,
		logger:   logging.New(logs, s.Log, s.Node, self),
		metrics:  metrics.NewRegistry(),
		self:     self,
		born:     born,
		failures: make(chan error, 8),
		drain:    make(chan struct{}, 1),
		reclaim:  make(chan time.Duration, 1),
	}
	n.journal = explain.NewJournal(self, journalCapacity, time.Now)
	dialer, err := n.peerDialer()
	if err != nil {
		return nil, err
	}
	n.peers = peer.NewClient(dialer)
	n.peerServer = peer.NewServer(s.PeerToken)
	if err := n.join(); err != nil {
		return nil, err
	}
	n.witness = witness.NewService(self, n.peers)
	n.control = newControl(n, dialer)
	n.router = placement.NewRouter(placement.Options{
		Members:         n.members,
		Fleet:           n.control.view,
		UnmarkedFleet:   n.control.registry,
		LeavingRevision: n.control.leaving.Changes,
		Calls:           n.peers,
		Logger:          n.logger,
		Policy:          placement.SitePolicy{Site: n.control.manager},
		MarkLeaving:     n.control.markLeaving,
		ReclaimAt:       n.control.leaving.ReclaimAt,
		Suspect:         func(spec *request.Spec) bool { return n.guard.Suspect(spec) },
	})
	if err := n.buildDispatcher(dialer); err != nil {
		return nil, err
	}
	return n, n.register()
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

// DeclaredDead is closed when the other nodes have declared this incarnation
// dead, such as after its process was paused. It never comes back as itself.
func (n *Node) DeclaredDead() <-chan struct{} {
	return n.members.DeclaredDead()
}

// Failures yields errors of listeners that ended by themselves.
func (n *Node) Failures() <-chan error {
	return n.failures
}
