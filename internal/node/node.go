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
	// updateInterval is the interval at which the router is updated from fleet and members.
	updateInterval = 200 * time.Millisecond
	// witnessRetention is the time for which a witness keeps a finished record.
	witnessRetention = 10 * time.Minute
	// journalCapacity is the number of decisions that the journal keeps for the explain command.
	journalCapacity = 20000
	// observeInterval is the interval at which the upstreams that this node owns are observed.
	observeInterval = time.Second
	// expireInterval is the interval at which expired records are removed from the witness tables.
	expireInterval = 10 * time.Second
)

// Node is one mangoledged process.
type Node struct {
	settings *settings.Settings
	logger   *slog.Logger
	metrics  metrics.Registry
	self     ident.Incarnation
	// createdAt is the time at which this incarnation was created.
	createdAt time.Time

	ingress    *ingressLimits
	peers      *peer.Client
	peerServer *peer.Server
	// peerTLS is nil when connections between nodes use plain TCP.
	peerTLS    *tls.Config
	members    *membership.Cluster
	witness    *witness.Service
	control    *controlPlane
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

	drainRequests  chan struct{}
	reclaimNotices chan time.Duration
	// stop ends the background work, and running waits for the goroutines of serve and loop.
	stop     context.CancelFunc
	running  sync.WaitGroup
	failures chan error
}

// New returns a node with the given settings that logs to logs. It opens the membership
// socket; Start starts everything else.
func New(s *settings.Settings, logs io.Writer) (*Node, error) {
	createdAt := time.Now()
	self := ident.NewIncarnation(s.Node, createdAt)
	n := &Node{
		settings:       s,
		logger:         logging.New(logs, s.Log, s.Node, self),
		metrics:        metrics.NewRegistry(),
		self:           self,
		createdAt:      createdAt,
		failures:       make(chan error, 8),
		ingress:        newIngressLimits(&s.Limits),
		drainRequests:  make(chan struct{}, 1),
		reclaimNotices: make(chan time.Duration, 1),
	}
	n.journal = explain.NewJournal(self, journalCapacity, time.Now)
	dialer, err := n.peerDialer()
	if err != nil {
		return nil, err
	}
	n.peers = peer.NewClient(dialer)
	n.peerServer = peer.NewServer(s.PeerToken)
	n.peerServer.LimitFrames(share(&s.Limits, framePercent))
	if err := n.join(); err != nil {
		return nil, err
	}
	n.witness = witness.NewService(self, n.peers)
	n.witness.LimitKept(share(&s.Limits, keptPercent))
	n.witness.LimitInputs(share(&s.Limits, witnessInputPercent))
	n.control = newControlPlane(n, dialer)
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

// DrainRequests receives a value when an operator requests that this node stops.
func (n *Node) DrainRequests() <-chan struct{} {
	return n.drainRequests
}

// ReclaimNotices receives the remaining notice period when this node's host is being reclaimed.
func (n *Node) ReclaimNotices() <-chan time.Duration {
	return n.reclaimNotices
}

// requestDrain signals a drain request; it does nothing when one is already pending.
func (n *Node) requestDrain() {
	select {
	case n.drainRequests <- struct{}{}:
	default:
	}
}

// requestReclaim signals a reclaim notice; it does nothing when one is already pending.
func (n *Node) requestReclaim(notice time.Duration) {
	select {
	case n.reclaimNotices <- notice:
	default:
	}
}

// DeclaredDead is closed when the other nodes have declared this incarnation dead, for
// example after its process was paused. A dead incarnation cannot rejoin.
func (n *Node) DeclaredDead() <-chan struct{} {
	return n.members.DeclaredDead()
}

// Failures receives errors of servers that ended unexpectedly.
func (n *Node) Failures() <-chan error {
	return n.failures
}
