// Package lease gives a duty of the site to one node at a time, by conditional
// writes to the platform's object API.
//
// Invariants: a holder counts its lease from before the write that renewed it
// was sent, on its own monotonic clock, and less a margin; another node takes a
// lease only when it saw it unchanged for the whole time plus the margin, on its
// own clock. So no clocks are compared, and while clocks run alike within the
// margin no two nodes' checks pass at once. A paused holder can still be caught
// between its check and its order: upstreams that check fencing numbers refuse
// that order, and for those that do not CheckUnfenced waits out orders in progress,
// and only orders that are harmless when late are given.
//
// A lease that is deleted by hand is put back with the fencing numbers going on, and
// is free after the time that its holder may have had.
//
// Lock order: Lease.mu is a leaf; it is not held while the store is called.
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
	// DefaultTTL is for how long a renewal holds.
	DefaultTTL = 10 * time.Second
	// renewalsPerTTL is how often a holder renews within the time of one renewal.
	renewalsPerTTL = 4
	// marginShare is the part of the time that is kept as the margin for clocks.
	marginShare = 8
	// OrderTimeout is the deadline of an order to an upstream, and so how long an
	// order of the last holder may still be on its way after its check.
	OrderTimeout = 5 * time.Second
)

// ErrNotHeld is returned when this node does not hold the lease, or not surely.
var ErrNotHeld = errors.New("this node does not hold the lease")

// ErrNotWaitedOut is returned when orders of the last holder may still be on their way.
var ErrNotWaitedOut = errors.New("orders of the last holder may still be on their way")

// Options configure a Lease.
type Options struct {
	Store objects.Store
	// Name is the duty.
	Name string
	// Holder is this process's incarnation.
	Holder ident.Incarnation
	// TTL is DefaultTTL when 0.
	TTL time.Duration
	// Candidate reports whether this node should take the lease when it is free;
	// nil for always. A holder that is none any more keeps the lease.
	Candidate func() bool
	// Clock is time.Now when nil; it must carry the monotonic clock.
	Clock func() time.Time
	// Logger is slog.Default() when nil.
	Logger *slog.Logger
}

// Lease is one node's part in a lease.
type Lease struct {
	options Options

	mu sync.Mutex
	// version and record are the lease as it was seen last; seen is since when it is unchanged.
	version objects.Version
	record  Record
	seen    time.Time
	// held is true while this node is the holder, until validUntil.
	held       bool
	validUntil time.Time
	// waitedOut is from when on upstreams without fencing may be given orders.
	waitedOut time.Time
}

// New returns a lease that is not held.
func New(options Options) *Lease {
	if options.TTL == 0 {
		options.TTL = DefaultTTL
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

// Check returns the fencing number to give an order with, or ErrNotHeld. It is
// called before each order.
func (l *Lease) Check() (Fence, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.options.Clock().Before(l.validUntil) {
		return 0, ErrNotHeld
	}
	return l.record.Fence, nil
}

// CheckUnfenced is Check for an order to an upstream that ignores fencing numbers.
func (l *Lease) CheckUnfenced() (Fence, error) {
	fence, err := l.Check()
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.options.Clock().Before(l.waitedOut) {
		return 0, ErrNotWaitedOut
	}
	return fence, nil
}

// Seen returns the lease as this node saw it last.
func (l *Lease) Seen() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Look reads the lease from the store; it is what this node saw last when that
// fails. A node that does not compete sees the lease only by this.
func (l *Lease) Look(ctx context.Context) Record {
	object, err := l.options.Store.Get(ctx, Kind, l.options.Name)
	if err != nil {
		return l.Seen()
	}
	record, err := decodeRecord(object)
	if err != nil {
		return l.Seen()
	}
	return record
}

// Run takes the lease when it can and keeps it until ctx ends; then it releases it.
func (l *Lease) Run(ctx context.Context) {
	interval := l.options.TTL / renewalsPerTTL
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := l.Step(ctx); err != nil && ctx.Err() == nil {
			l.options.Logger.Warn("lease", "name", l.options.Name, "error", err)
		}
		select {
		case <-ctx.Done():
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), interval)
			defer cancel()
			_ = l.Release(bounded) // it lapses by itself
			return
		case <-ticker.C:
		}
	}
}

// Step does what is due now: renew when held, else look at the lease and take it
// when it is free. Run calls it at an interval.
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
	return l.compete(ctx)
}
