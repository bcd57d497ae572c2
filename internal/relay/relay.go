// Package relay keeps objects of the platform's object API current on every
// node of a site, though only a few nodes of each failure domain watch the store.
//
// The watchers of a failure domain are chosen by rendezvous hash over its usable
// members. They tell the other members by small hints over net/rpc what they
// hold and how long ago the store proved it; who holds less pulls the bodies
// over net/http, since they may be large.
//
// Invariants: a node replaces an object only by a higher version of it; a proof
// of currency is passed on only with its age, so no clock is compared.
//
// Lock order: Relay.mu, table.mu; both are leaves, and no call and no
// subscriber runs while one is held.
package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// StaleLimit is after how long without a proof of currency a node may be stale.
	StaleLimit = 4 * time.Second
	// hintInterval is the time between two rounds of hints.
	hintInterval = time.Second
	// hintTimeout is the deadline of one hint.
	hintTimeout = 900 * time.Millisecond
	// hintSpacing is the least time between two rounds.
	hintSpacing = 20 * time.Millisecond
	// pullInterval is the time between two looks at whether to pull.
	pullInterval = 250 * time.Millisecond
	// pullAge is the age of the last proof from which a node pulls by itself.
	pullAge = 3 * time.Second
	// pullTimeout is the deadline of one pull.
	pullTimeout = 2 * time.Second
	// maxParallelHints is how many hints a node has in progress at once.
	maxParallelHints = 32
	// watchCheckInterval is the time between two looks at whether to watch.
	watchCheckInterval = 500 * time.Millisecond
)

// Subscriber is told of objects; versions of one name may reach it out of order,
// when they come by two ways at once.
type Subscriber func(objects.Object)

// Options configure a Relay.
type Options struct {
	Store objects.Store
	// Kinds are the kinds kept current.
	Kinds  []objects.Kind
	View   membership.View
	Peers  *peer.Client
	Dialer peer.Dialer
	// Clock is time.Now when nil; it must carry the monotonic clock.
	Clock func() time.Time
	// Logger is slog.Default() when nil.
	Logger *slog.Logger
}

// Relay keeps objects current on one node.
type Relay struct {
	options     Options
	table       *table
	http        *http.Client
	dirty       chan struct{}
	subscribers map[objects.Kind][]Subscriber

	mu sync.Mutex
	// proof is when the store last proved what this node holds.
	proof time.Time
	// proofs is when each watched kind was last proved by this node's own watches.
	proofs  map[objects.Kind]time.Time
	pulling bool
	awake   awake
}

// New returns a relay; Subscribe and Register come before Run.
func New(options Options) *Relay {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	transport := &http.Transport{DialContext: dialPeer(options.Dialer)}
	return &Relay{
		options:     options,
		table:       newTable(),
		http:        &http.Client{Transport: transport, Timeout: pullTimeout},
		dirty:       make(chan struct{}, 1),
		subscribers: make(map[objects.Kind][]Subscriber),
		proofs:      make(map[objects.Kind]time.Time),
	}
}

// Subscribe lets subscriber hear of the objects of a kind.
func (r *Relay) Subscribe(kind objects.Kind, subscriber Subscriber) {
	r.subscribers[kind] = append(r.subscribers[kind], subscriber)
}

// Register offers the relay's service to other nodes.
func (r *Relay) Register(server *peer.Server) error {
	server.Handle("POST "+pullPath, http.HandlerFunc(r.servePull))
	return server.Register(serviceName, &service{relay: r})
}

// Run keeps objects current until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range r.options.Kinds {
		group.Go(func() error { r.watchWhenChosen(ctx, kind); return nil })
	}
	group.Go(func() error { r.hintLoop(ctx); return nil })
	group.Go(func() error { r.pullLoop(ctx); return nil })
	defer r.http.CloseIdleConnections()
	return group.Wait()
}

// Offer takes in an object that this node has just written or read.
func (r *Relay) Offer(object objects.Object) {
	if !r.table.put(object) {
		return
	}
	for _, subscriber := range r.subscribers[object.Kind] {
		subscriber(object)
	}
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// Proof returns when the store last proved what this node holds; zero for never.
func (r *Relay) Proof() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proof
}

// proved notes that what this node holds was current at a time.
func (r *Relay) proved(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.proof) {
		r.proof = at
	}
}

// tick notes that this process is running.
func (r *Relay) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awake.tick(now)
}

// provedByHint is proved for a proof that another node sent, and that may have
// waited here while this process was paused.
func (r *Relay) provedByHint(age time.Duration) {
	now := r.options.Clock()
	r.mu.Lock()
	trusted := r.awake.trusts(now)
	r.mu.Unlock()
	if trusted {
		r.proved(now.Add(-age))
	}
}

// provedKind notes that the store proved one kind; the node is current as of the oldest of them.
func (r *Relay) provedKind(kind objects.Kind) {
	now := r.options.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proofs[kind] = now
	oldest := now
	for _, k := range r.options.Kinds {
		if r.proofs[k].Before(oldest) {
			oldest = r.proofs[k]
		}
	}
	if oldest.After(r.proof) {
		r.proof = oldest
	}
}
