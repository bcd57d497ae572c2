package balance

import (
	"cmp"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/routeplan"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/gateway/spread"
)

// Explain fills in the plan for a request: what Pick would choose among the upstreams, and why.
func (b *Balancer) Explain(plan *routeplan.Plan, r *site.Request, c *PickOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	plan.Nodes = b.figures.Nodes
	plan.FiguresAgeMs = b.figuresAge(now).Milliseconds()
	candidates, _ := b.candidates(r, c, now)
	plan.Candidates = b.explainUnavailable(c, now)
	if len(candidates) == 0 {
		plan.Decision, plan.Reason = routeplan.Refused, "no upstream is available"
		return
	}
	chosen := b.selectionAmong(candidates, r, c.Service, now)
	plan.Decision = chosen.decision()
	probabilities := make([]float64, len(candidates))
	if chosen.only >= 0 {
		probabilities[chosen.only] = 1
	} else {
		probabilities = spread.Shares(chosen.list, chosen.level)
	}
	plan.UnseenRequests, plan.LevelMs = chosen.unseen, inMilliseconds(chosen.level)
	for i, one := range candidates {
		plan.Candidates = append(plan.Candidates, explainCandidate(one, r, c.Service, probabilities[i], now))
	}
	slices.SortStableFunc(plan.Candidates, func(a, b routeplan.Candidate) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Unavailable, b.Unavailable),
			cmp.Compare(a.WaitMs+a.OwnMs, b.WaitMs+b.OwnMs))
	})
}

func explainCandidate(c candidate, r *site.Request, service site.Service, probability float64, now time.Time) routeplan.Candidate {
	out := routeplan.Candidate{
		Upstream: c.state.upstream.ID, FailureDomain: c.state.upstream.FailureDomain, Probability: probability,
		WaitMs: inMilliseconds(c.cost.wait), OwnMs: inMilliseconds(c.cost.own),
		OpenHere: len(c.state.openTickets), OpenElsewhere: c.state.peerLoad.Requests,
		Slowdown: c.state.slowdown, FailureRate: c.state.failureRate,
	}
	if service.Engine != nil {
		out.UncachedTokens = uncachedTokens(c.state, r, c.preferred, now)
	}
	return out
}

// explainUnavailable returns the upstreams that take no requests now.
func (b *Balancer) explainUnavailable(c *PickOptions, now time.Time) []routeplan.Candidate {
	var out []routeplan.Candidate
	for _, u := range c.Candidates {
		availability, left := b.availabilityOf(u, now)
		reason := ""
		switch backoff := b.stateOf(u, now).backoffUntil.Sub(now); {
		case availability == Leaving:
			reason = availability.String()
		case left > 0:
			reason = availability.String() + " for " + left.String()
		case backoff > 0:
			reason = "backs off for " + backoff.String()
		default:
			continue
		}
		out = append(out, routeplan.Candidate{Upstream: u.ID, FailureDomain: u.FailureDomain, Unavailable: reason})
	}
	return out
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
