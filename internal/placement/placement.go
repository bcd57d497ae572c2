package placement

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
)

// reservedPlacement is a slot that an owner has reserved.
type reservedPlacement struct {
	router       *Router
	choice       owner.Choice
	id           owner.ReservationID
	upstream     fleet.Upstream
	cachedTokens int
}

// Upstream returns the upstream to send the request to.
func (p *reservedPlacement) Upstream() fleet.Upstream {
	return p.upstream
}

// CachedTokens returns the number of prompt tokens that the owner estimated to be
// cached when it chose the upstream.
func (p *reservedPlacement) CachedTokens() int {
	return p.cachedTokens
}

// Release releases the slot. It does not wait for the call to another owner.
func (p *reservedPlacement) Release(outcome dispatch.Outcome, perToken time.Duration) {
	result := outcomeOf(outcome, perToken)
	p.router.held.remove(p.id.Serial)
	if p.choice.Owner == p.router.self.Incarnation {
		p.router.ledger.Release(p.router.options.Now(), p.id, result)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		defer cancel()
		_ = p.router.client.Release(ctx, p.choice.Address, p.id, result)
	}()
}

// unreservedPlacement is an upstream that was chosen without an owner.
type unreservedPlacement struct {
	router       *Router
	upstream     fleet.Upstream
	cachedTokens int
}

// Upstream returns the upstream to send the request to.
func (a *unreservedPlacement) Upstream() fleet.Upstream {
	return a.upstream
}

// CachedTokens returns the number of prompt tokens that this node estimated to be
// cached when it chose the upstream.
func (a *unreservedPlacement) CachedTokens() int {
	return a.cachedTokens
}

// Release records the end of the request in this node's table.
func (a *unreservedPlacement) Release(outcome dispatch.Outcome, perToken time.Duration) {
	a.router.table.RecordEnd(a.router.options.Now(), a.upstream.ID, false, outcomeOf(outcome, perToken))
}

// outcomeOf converts an outcome to that of the routing tables.
func outcomeOf(outcome dispatch.Outcome, perToken time.Duration) routing.Outcome {
	return routing.Outcome{Kind: outcomeKindOf(outcome), PerToken: perToken}
}

func outcomeKindOf(outcome dispatch.Outcome) routing.OutcomeKind {
	switch outcome {
	case dispatch.OutcomeDone:
		return routing.OutcomeDone
	case dispatch.OutcomeRefused:
		return routing.OutcomeRefused
	case dispatch.OutcomeFailed:
		return routing.OutcomeFailed
	case dispatch.OutcomeCrashed:
		return routing.OutcomeCrashed
	case dispatch.OutcomeMoved:
		return routing.OutcomeMoved
	}
	return routing.OutcomeFailed
}
