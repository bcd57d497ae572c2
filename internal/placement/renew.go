package placement

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"mangoledge.example/mangoledge/internal/owner"
)

const (
	// RenewInterval is the time between two calls of Renew.
	RenewInterval = owner.DefaultReservationTTL / 6
	// renewAge is the time since its reservation or last renewal after which a slot is
	// renewed: late enough that short requests need no renewal, early enough that
	// several renewals may fail before the reservation expires.
	renewAge = owner.DefaultReservationTTL / 3
	// maxParallelRenewals is the number of owners that are called concurrently.
	maxParallelRenewals = 8
)

// Renew renews the reservations that are due by renewAge with their owners.
func (r *Router) Renew(ctx context.Context, now time.Time) {
	due := make(map[owner.Choice][]uint64)
	for _, placement := range r.held.renewedBefore(now.Add(-renewAge)) {
		due[placement.choice] = append(due[placement.choice], placement.id.Serial)
	}
	var group errgroup.Group
	group.SetLimit(maxParallelRenewals)
	for choice, serials := range due {
		group.Go(func() error {
			r.renewAt(ctx, now, choice, serials)
			return nil
		})
	}
	_ = group.Wait()
}

// renewAt renews reservations with one owner. After an error the next Renew tries
// again.
func (r *Router) renewAt(ctx context.Context, now time.Time, choice owner.Choice, serials []uint64) {
	unknown, err := r.renewOnce(ctx, now, choice, serials)
	if err != nil {
		r.options.Logger.Debug("renewing reservations failed", "owner", string(choice.Owner), "error", err)
		return
	}
	r.held.remove(unknown...)
	r.held.markRenewed(now, serials)
}

// renewOnce calls an owner once, or the ledger of this node if it is the owner. It returns
// the serials of reservations that have already ended.
func (r *Router) renewOnce(ctx context.Context, now time.Time, choice owner.Choice, serials []uint64) ([]uint64, error) {
	if choice.Owner == r.self.Incarnation {
		return r.ledger.Renew(now, r.holder, serials), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return r.client.Renew(ctx, choice.Address, r.holder, serials)
}
