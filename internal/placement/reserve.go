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

// reserve asks one owner; reached is false when it did not answer.
func (r *Router) reserve(ctx context.Context, choice owner.Choice, need *dispatch.PlacementRequest, features *routing.Features) (place *placed, reached bool) {
	args := r.reservation(need, features)
	place = &placed{router: r, choice: choice, id: args.ID}
	ctx, cancel := context.WithDeadline(ctx, need.Spec.Deadline)
	defer cancel()
	reply, err := r.askUntilSlot(ctx, choice, args)
	now := r.options.Now()
	if ctx.Err() != nil {
		place.Release(dispatch.OutcomeMoved, 0)
		return nil, true
	}
	if err != nil {
		// The owner may have reserved a slot all the same.
		place.Release(dispatch.OutcomeMoved, 0)
		r.options.Logger.Warn("an owner did not answer", "owner", string(choice.Owner), "error", err)
		r.directory.Refused(choice.Owner, features.Pool(), now.Add(lostFor))
		return nil, false
	}
	r.directory.Heard(now, choice.Owner, reply.Summary)
	if !reply.Granted {
		r.noteRefusal(choice.Owner, features, now.Add(fullFor))
		return nil, true
	}
	if !r.table.Current(now) {
		// This process was paused since it asked; the upstream may have left meanwhile.
		place.Release(dispatch.OutcomeMoved, 0)
		return nil, false
	}
	upstream, ok := r.upstream(reply.Upstream)
	place.upstream = upstream
	place.cached = reply.CachedTokens
	r.places.add(now, place)
	if !ok || r.Leaving(reply.Upstream) {
		place.Release(dispatch.OutcomeMoved, 0)
		return nil, true
	}
	return place, true
}

// noteRefusal has an owner that had no slot left alone until then, by requests like this one.
func (r *Router) noteRefusal(owner ident.Incarnation, features *routing.Features, until time.Time) {
	if features.Suspect {
		r.directory.RefusedSuspect(owner, features.Pool(), until)
		return
	}
	r.directory.Refused(owner, features.Pool(), until)
}

// askUntilSlot asks an owner until the request has a slot, is in no line or ctx ends.
func (r *Router) askUntilSlot(ctx context.Context, choice owner.Choice, args *owner.ReserveArgs) (owner.ReserveReply, error) {
	for {
		reply, err := r.askOwner(ctx, choice, args)
		if err != nil || !reply.Wait {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case <-time.After(reply.Pause()):
		}
	}
}

func (r *Router) askOwner(ctx context.Context, choice owner.Choice, args *owner.ReserveArgs) (owner.ReserveReply, error) {
	if choice.Owner == r.self.Incarnation {
		return r.ledger.Reserve(r.options.Now(), args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return r.client.Reserve(ctx, choice.Address, args)
}

func (r *Router) reservation(need *dispatch.PlacementRequest, features *routing.Features) *owner.ReserveArgs {
	return &owner.ReserveArgs{
		ID:           owner.ReservationID{Holder: r.holder, Serial: r.serial.Add(1)},
		Model:        features.Model,
		Adapter:      features.Adapter,
		Service:      features.Service,
		Blocks:       features.Blocks,
		PromptTokens: features.PromptTokens,
		MaxTokens:    features.MaxTokens,
		Urgency:      request.UrgencyOf(need.Spec.Deadline, time.Duration(features.MaxTokens)*admission.TypicalTokenLatency),
		Avoid:        features.Avoid,
		Suspect:      features.Suspect,
		Pressing:     features.Pressing,
	}
}
