// Package lease assigns each leader task of the site (one that one node performs for all)
// to one node at a time, by conditional writes to the platform's object API.
//
// Invariants: a holder counts the TTL from before it sent the write that renewed the lease,
// on its own monotonic clock, and subtracts a margin; another node acquires a lease only
// after it has seen it unchanged for the TTL plus the margin, on its own clock. So clocks of
// different nodes are never compared, and while their rates differ by less than the margin,
// the checks of two nodes never succeed at the same time. A holder can still be paused
// between its check and its order: upstreams that check fencing numbers refuse that order.
// For those that do not, CheckUnfenced waits until orders in progress have timed out, and
// they are sent only orders that do no harm when they arrive late.
//
// A lease that an operator deletes is recreated. Its fencing numbers continue, and it becomes
// free once the lease of the former holder must have expired.
//
// Lock order: Lease.mu is a leaf; it is not held during calls to the store.
package lease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// DefaultTTL is how long a lease is valid after a renewal.
	DefaultTTL = 10 * time.Second
	// renewalsPerTTL is how many times a holder renews its lease within one TTL.
	renewalsPerTTL = 4
	// clockMarginDivisor divides the TTL to give the margin for clock drift.
	clockMarginDivisor = 8
	// OrderTimeout is the default of Options.OrderTimeout.
	OrderTimeout = 5 * time.Second
)

// ErrNotHeld is returned when this node does not hold the lease, or cannot be certain that it does.
var ErrNotHeld = errors.New("this node does not hold the lease")

// ErrPreviousOrdersPending is returned while orders of the previous holder may still be in progress.
var ErrPreviousOrdersPending = errors.New("orders of the previous holder may still be in progress")

// Options configure a Lease.
type Options struct {
	Store objects.Store
	// Name is the name of the lease.
	Name string
	// Holder is the incarnation of this process.
	Holder ident.Incarnation
	// TTL is how long the lease is valid after a renewal; 0 means DefaultTTL.
	TTL time.Duration
	// OrderTimeout is the timeout of an order to an upstream, and thus how long after its check
	// an order of a holder whose lease expired may still be in progress; 0 means the constant
	// OrderTimeout.
	OrderTimeout time.Duration
	// HandoverWait is how long after taking over a released lease CheckUnfenced does not
	// succeed. With the TTL or more, no node sends orders both before and after those of another
	// one within a TTL.
	HandoverWait time.Duration
	// Candidate reports whether this node should acquire the lease when it is free; nil means
	// always. A holder that is no longer a candidate keeps the lease.
	Candidate func() bool
	// Clock returns the current time, with a monotonic clock reading; nil means time.Now.
	Clock func() time.Time
	// Logger defaults to slog.Default().
	Logger *slog.Logger
}

// Lease is one node's view of a lease, whether or not it holds it.
type Lease struct {
	options Options

	mu sync.Mutex
	// version and record are the lease as last seen, and unchangedSince is when this node first
	// saw them.
	version        objects.Version
	record         Record
	unchangedSince time.Time
	// held is set if this node is the holder; its lease is valid until validUntil.
	held       bool
	validUntil time.Time
	// unfencedAfter is the time from which orders may be sent to upstreams that ignore fencing
	// numbers.
	unfencedAfter time.Time
}

// New returns a lease that is not held.
func New(options Options) *Lease {
	if options.TTL == 0 {
		options.TTL = DefaultTTL
	}
	if options.OrderTimeout == 0 {
		options.OrderTimeout = OrderTimeout
	}
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Candidate == nil {
		options.Candidate = func() bool { return true }
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	return &Lease{options: options}
}

// Check returns the fencing number to send with an order, or ErrNotHeld. Call it before each
// order.
func (l *Lease) Check() (Fence, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.options.Clock().Before(l.validUntil) {
		return 0, ErrNotHeld
	}
	return l.record.Fence, nil
}

// CheckUnfenced is like Check, for orders to upstreams that ignore fencing numbers. It returns
// ErrPreviousOrdersPending while orders of the previous holder may still be in progress, and
// during Options.HandoverWait.
func (l *Lease) CheckUnfenced() (Fence, error) {
	fence, err := l.Check()
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.options.Clock().Before(l.unfencedAfter) {
		return 0, ErrPreviousOrdersPending
	}
	return fence, nil
}

// Unfenced is a lease whose Check is CheckUnfenced.
type Unfenced struct{ *Lease }

// Check is CheckUnfenced.
func (u Unfenced) Check() (Fence, error) { return u.CheckUnfenced() }

// LastRecord returns the lease record that this node saw last, without reading the store.
func (l *Lease) LastRecord() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Look reads the lease record from the store, and returns the record seen last if that fails.
// A node that does not compete for the lease learns of its holder only in this way.
func (l *Lease) Look(ctx context.Context) Record {
	object, err := l.options.Store.Get(ctx, Kind, l.options.Name)
	if err != nil {
		return l.LastRecord()
	}
	record, err := decodeRecord(object)
	if err != nil {
		return l.LastRecord()
	}
	return record
}

// Run acquires the lease when possible and renews it until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) {
	interval := l.options.TTL / renewalsPerTTL
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := l.Step(ctx); err != nil && ctx.Err() == nil {
			l.options.Logger.Warn("lease acquisition or renewal failed", "name", l.options.Name, "error", err)
		}
		select {
		case <-ctx.Done():
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), interval)
			defer cancel()
			_ = l.Release(bounded) // on failure the lease expires
			return
		case <-ticker.C:
		}
	}
}

// Step renews the lease if this node holds it; otherwise, if the node is a candidate, Step
// reads the lease and acquires it if it is free or expired. Run calls Step periodically.
func (l *Lease) Step(ctx context.Context) error {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held {
		return l.renew(ctx)
	}
	if !l.options.Candidate() {
		return nil
	}
	return l.tryAcquire(ctx)
}
