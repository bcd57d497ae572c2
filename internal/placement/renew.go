package placement

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"mangoledge.example/mangoledge/internal/owner"
)

const (
	// RenewInterval is the time between two calls of Renew.
	RenewInterval = owner.DefaultHold / 6
	// renewAge is how long ago an owner has heard of a reservation that is renewed,
	// so that those of short requests never are, and that an owner can miss several
	// renewals of the others.
	renewAge = owner.DefaultHold / 3
	// maxParallelRenewals is how many owners are told at once.
	maxParallelRenewals = 8
)

// Renew tells the owners that the slots that they reserved a while ago are still in use.
func (r *Router) Renew(ctx context.Context, now time.Time) {
	due := make(map[owner.Choice][]uint64)
	for _, place := range r.places.due(now.Add(-renewAge)) {
		due[place.choice] = append(due[place.choice], place.id.Serial)
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

// renewAt renews the reservations of one owner. One that does not answer is told
// again with the next round.
func (r *Router) renewAt(ctx context.Context, now time.Time, choice owner.Choice, serials []uint64) {
	unknown, err := r.askToRenew(ctx, now, choice, serials)
	if err != nil {
		r.options.Logger.Debug("an owner could not be told of slots in use", "owner", string(choice.Owner), "error", err)
		return
	}
	r.places.remove(unknown...)
	r.places.renewed(now, serials)
}

func (r *Router) askToRenew(ctx context.Context, now time.Time, choice owner.Choice, serials []uint64) ([]uint64, error) {
	if choice.Owner == r.self.Incarnation {
		return r.ledger.Renew(now, r.holder, serials), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return r.client.Renew(ctx, choice.Address, r.holder, serials)
}
