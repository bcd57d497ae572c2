package placement

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
)

// placed is a slot that an owner has reserved.
type placed struct {
	router   *Router
	choice   owner.Choice
	id       owner.ReservationID
	upstream fleet.Upstream
	// cached is in tokens.
	cached int
}

// Upstream is where to send the request.
func (p *placed) Upstream() fleet.Upstream {
	return p.upstream
}

// CachedTokens is what the owner believed cached when it chose.
func (p *placed) CachedTokens() int {
	return p.cached
}

// Release gives the slot back; the call to another owner is not waited for.
func (p *placed) Release(outcome dispatch.Outcome, perToken time.Duration) {
	out := outcomeOf(outcome, perToken)
	p.router.places.remove(p.id.Serial)
	if p.choice.Owner == p.router.self.Incarnation {
		p.router.ledger.Release(p.router.options.Now(), p.id, out)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		defer cancel()
		_ = p.router.client.Release(ctx, p.choice.Address, p.id, out)
	}()
}

// alone is a place that was chosen without an owner.
type alone struct {
	router   *Router
	upstream fleet.Upstream
	// cached is in tokens.
	cached int
}

// Upstream is where to send the request.
func (a *alone) Upstream() fleet.Upstream {
	return a.upstream
}

// CachedTokens is what this node believed cached when it chose.
func (a *alone) CachedTokens() int {
	return a.cached
}

// Release ends the count of the request here.
func (a *alone) Release(outcome dispatch.Outcome, perToken time.Duration) {
	a.router.table.RecordEnd(a.router.options.Now(), a.upstream.ID, false, outcomeOf(outcome, perToken))
}

// outcomeOf is an outcome as the routing tables take it.
func outcomeOf(outcome dispatch.Outcome, perToken time.Duration) routing.Outcome {
	return routing.Outcome{Kind: kindOf(outcome), PerToken: perToken}
}

func kindOf(outcome dispatch.Outcome) routing.OutcomeKind {
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
