package placement

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// reserve requests a slot from one owner. placement is nil without a slot; reached is false
// when the owner did not answer, or when this process was paused before it read the
// reply.
func (r *Router) reserve(ctx context.Context, choice owner.Choice, req *dispatch.PlacementRequest, features *routing.Features) (placement *reservedPlacement, reached bool) {
	args := r.newReserveArgs(req, features)
	placement = &reservedPlacement{router: r, choice: choice, id: args.ID}
	ctx, cancel := context.WithDeadline(ctx, req.Spec.Deadline)
	defer cancel()
	reply, err := r.reserveAndWait(ctx, choice, args)
	now := r.options.Now()
	if ctx.Err() != nil {
		placement.Release(dispatch.OutcomeMoved, 0)
		return nil, true
	}
	if err != nil {
		// The owner may have reserved a slot despite the error.
		placement.Release(dispatch.OutcomeMoved, 0)
		r.options.Logger.Warn("reservation request failed", "owner", string(choice.Owner), "error", err)
		r.directory.MarkFull(choice.Owner, features.Pool(), now.Add(unreachableBackoff))
		return nil, false
	}
	r.directory.RecordSummary(now, choice.Owner, reply.Summary)
	if !reply.Granted {
		r.recordRefusal(choice.Owner, features, now.Add(refusalBackoff))
		return nil, true
	}
	if !r.table.Current(now) {
		// This process was paused during the call; the upstream may have left since.
		placement.Release(dispatch.OutcomeMoved, 0)
		return nil, false
	}
	upstream, ok := r.upstream(reply.Upstream)
	placement.upstream = upstream
	placement.cachedTokens = reply.CachedTokens
	r.held.add(now, placement)
	if !ok || r.Leaving(reply.Upstream) {
		placement.Release(dispatch.OutcomeMoved, 0)
		return nil, true
	}
	return placement, true
}

// recordRefusal makes requests like this one avoid an owner without a free slot until
// the given time.
func (r *Router) recordRefusal(owner ident.Incarnation, features *routing.Features, until time.Time) {
	if features.Suspect {
		r.directory.MarkFullForSuspects(owner, features.Pool(), until)
		return
	}
	r.directory.MarkFull(owner, features.Pool(), until)
}

// reserveAndWait requests a slot from an owner and polls until the request has one,
// is refused, or ctx ends.
func (r *Router) reserveAndWait(ctx context.Context, choice owner.Choice, args *owner.ReserveArgs) (owner.ReserveReply, error) {
	for {
		reply, err := r.reserveOnce(ctx, choice, args)
		if err != nil || !reply.Wait {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case <-time.After(reply.PollInterval()):
		}
	}
}

// reserveOnce calls an owner once, or the ledger of this node if it is the owner.
func (r *Router) reserveOnce(ctx context.Context, choice owner.Choice, args *owner.ReserveArgs) (owner.ReserveReply, error) {
	if choice.Owner == r.self.Incarnation {
		return r.ledger.Reserve(r.options.Now(), args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return r.client.Reserve(ctx, choice.Address, args)
}

// newReserveArgs returns the arguments of a new reservation for a request.
func (r *Router) newReserveArgs(req *dispatch.PlacementRequest, features *routing.Features) *owner.ReserveArgs {
	return &owner.ReserveArgs{
		ID:           owner.ReservationID{Holder: r.holder, Serial: r.serial.Add(1)},
		Model:        features.Model,
		Adapter:      features.Adapter,
		Service:      features.Service,
		Blocks:       features.Blocks,
		PromptTokens: features.PromptTokens,
		MaxTokens:    features.MaxTokens,
		Urgency:      request.UrgencyOf(req.Spec.Deadline, time.Duration(features.MaxTokens)*admission.TypicalTokenLatency),
		Avoid:        features.Avoid,
		Suspect:      features.Suspect,
		Pressing:     features.Pressing,
	}
}
