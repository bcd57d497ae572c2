// Package relay keeps objects of the platform's object API current on every node,
// while only a few nodes of each failure domain watch the store.
//
// The watchers of a failure domain are chosen by a hash of its usable members. They
// send small hints over net/rpc to the other members, with a digest of the versions
// they hold and the time since the store last confirmed them as current. A node whose
// digest differs pulls the newer objects over net/http, since they may be large.
//
// A proof is the time at which the store last confirmed that the versions held are
// current.
//
// Invariants: a node replaces an object only by a higher version of it; a proof is sent
// to other nodes only as an age, so that clocks of different nodes are never compared.
//
// Lock order: Relay.mu and table.mu are leaves; no call to another node and no
// subscriber runs while one of them is held.
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
	// StaleLimit is the age of the proof above which a node's objects may be stale.
	StaleLimit = 4 * time.Second
	// hintInterval is the time between two rounds of hints.
	hintInterval = time.Second
	// hintTimeout is the timeout of a round of hints.
	hintTimeout = 900 * time.Millisecond
	// minHintSpacing is the minimum time between two rounds of hints.
	minHintSpacing = 20 * time.Millisecond
	// pullInterval is the time between two checks whether to pull.
	pullInterval = 250 * time.Millisecond
	// pullProofAge is the age of the proof above which a node pulls without a hint.
	pullProofAge = 3 * time.Second
	// pullTimeout is the timeout of a pull.
	pullTimeout = 2 * time.Second
	// maxParallelHints is the maximum number of hints that are sent concurrently.
	maxParallelHints = 32
	// watchCheckInterval is the time between two checks whether to watch the store.
	watchCheckInterval = 500 * time.Millisecond
)

// Subscriber is called with each new version of an object. Versions of one object may
// arrive out of order when they are received on two paths at once.
type Subscriber func(objects.Object)

// Options configure a Relay.
type Options struct {
	Store objects.Store
	// Kinds are the kinds of objects to keep current.
	Kinds  []objects.Kind
	View   membership.View
	Peers  *peer.Client
	Dialer peer.Dialer
	// Clock returns the current time with a monotonic clock reading; nil means time.Now.
	Clock func() time.Time
	// Logger is the logger; nil means slog.Default().
	Logger *slog.Logger
}

// Relay keeps objects current on one node.
type Relay struct {
	options Options
	table   *table
	http    *http.Client
	// changed signals hintLoop that an object has changed.
	changed     chan struct{}
	subscribers map[objects.Kind][]Subscriber

	mu sync.Mutex
	// provenAt is when the store last confirmed that the versions held here are current.
	provenAt time.Time
	// kindProvenAt is the same for each kind, by this node's own watches only.
	kindProvenAt map[objects.Kind]time.Time
	// pulling is true while a pull is in progress; see tryBeginPull.
	pulling bool
	pauses  pauseDetector
}

// New returns a relay. Subscribe and Register must be called before Run.
func New(options Options) *Relay {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	transport := &http.Transport{DialContext: dialPeer(options.Dialer)}
	return &Relay{
		options:      options,
		table:        newTable(),
		http:         &http.Client{Transport: transport, Timeout: pullTimeout},
		changed:      make(chan struct{}, 1),
		subscribers:  make(map[objects.Kind][]Subscriber),
		kindProvenAt: make(map[objects.Kind]time.Time),
	}
}

// Subscribe registers subscriber for objects of a kind.
func (r *Relay) Subscribe(kind objects.Kind, subscriber Subscriber) {
	r.subscribers[kind] = append(r.subscribers[kind], subscriber)
}

// Register registers the relay's handlers for other nodes at server.
func (r *Relay) Register(server *peer.Server) error {
	server.Handle("POST "+pullPath, http.HandlerFunc(r.servePull))
	return server.Register(serviceName, &service{relay: r})
}

// Run keeps the objects current until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range r.options.Kinds {
		group.Go(func() error { r.watchWhileSelected(ctx, kind); return nil })
	}
	group.Go(func() error { r.hintLoop(ctx); return nil })
	group.Go(func() error { r.pullLoop(ctx); return nil })
	defer r.http.CloseIdleConnections()
	return group.Wait()
}

// Put stores an object that was written or received, if its version is higher than
// the one held, and notifies subscribers and other nodes.
func (r *Relay) Put(object objects.Object) {
	if !r.table.put(object) {
		return
	}
	for _, subscriber := range r.subscribers[object.Kind] {
		subscriber(object)
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// ProvenAt returns when the store last confirmed that the versions held here are current;
// zero for never.
func (r *Relay) ProvenAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.provenAt
}

// recordProof records that the versions held here were current at a time.
func (r *Relay) recordProof(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.provenAt) {
		r.provenAt = at
	}
}

// tick records that this process runs.
func (r *Relay) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauses.tick(now)
}

// recordProofFromHint records a proof of the given age from a hint. It ignores the proof
// shortly after a pause of this process, because the hint may have waited during it.
func (r *Relay) recordProofFromHint(age time.Duration) {
	now := r.options.Clock()
	r.mu.Lock()
	trusted := r.pauses.trustsReceived(now)
	r.mu.Unlock()
	if trusted {
		r.recordProof(now.Add(-age))
	}
}

// recordKindProof records that the store confirmed the objects of one kind. The proof of
// this node is the oldest over all kinds.
func (r *Relay) recordKindProof(kind objects.Kind) {
	now := r.options.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kindProvenAt[kind] = now
	oldest := now
	for _, k := range r.options.Kinds {
		if r.kindProvenAt[k].Before(oldest) {
			oldest = r.kindProvenAt[k]
		}
	}
	if oldest.After(r.provenAt) {
		r.provenAt = oldest
	}
}
