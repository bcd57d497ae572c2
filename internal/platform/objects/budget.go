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
	// DefaultBurst is the burst size of a node's call budget.
	DefaultBurst = 20
	// watchChargeInterval is the interval at which an open watch is charged as one call.
	watchChargeInterval = time.Second
)

// Budget is a rate limit on a node's calls to the store. A watch counts as one call when
// it is opened and as one more for each second that it stays open.
type Budget struct {
	limiter *rate.Limiter
	calls   atomic.Uint64
}

// NewBudget returns a budget of callsPerSecond with a burst.
func NewBudget(callsPerSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(callsPerSecond), burst)}
}

// Calls returns the number of calls charged so far.
func (b *Budget) Calls() uint64 { return b.calls.Load() }

// wait waits until the budget allows one call; it fails at once if ctx would end before.
func (b *Budget) wait(ctx context.Context) error {
	if err := b.limiter.Wait(ctx); err != nil {
		return err
	}
	b.calls.Add(1)
	return nil
}

// charge charges one call without waiting; later calls wait longer in turn.
func (b *Budget) charge(now time.Time) {
	b.limiter.ReserveN(now, 1)
	b.calls.Add(1)
}
