package objects

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultCallsPerSecond is a node's budget of store calls.
	DefaultCallsPerSecond = 4
	// DefaultBurst is how many calls a node may save up.
	DefaultBurst = 20
	// watchCharge is how often a waiting watch is charged as one call.
	watchCharge = time.Second
)

// Budget bounds the calls that a node makes. A waiting watch counts as one call
// when it is opened and as one more for each second that it waits.
type Budget struct {
	limiter *rate.Limiter
	calls   atomic.Uint64
}

// NewBudget returns a budget of callsPerSecond with a burst.
func NewBudget(callsPerSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(callsPerSecond), burst)}
}

// Calls returns how many calls were charged so far.
func (b *Budget) Calls() uint64 { return b.calls.Load() }

// take waits for one call's worth of budget; it fails at once when ctx would end before.
func (b *Budget) take(ctx context.Context) error {
	if err := b.limiter.Wait(ctx); err != nil {
		return err
	}
	b.calls.Add(1)
	return nil
}

// charge takes one call's worth without waiting; later calls wait for it.
func (b *Budget) charge(now time.Time) {
	b.limiter.ReserveN(now, 1)
	b.calls.Add(1)
}
