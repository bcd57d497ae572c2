package exchange

import (
	"hash/fnv"

	"mangoledge.example/mangoledge/internal/gateway/quota"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// splitGrain is the number of equal steps in which a split route divides its requests by weight.
const splitGrain = 1 << 20

// pickTarget returns the name of the request's service. In a split route the choice depends
// only on the attempt ID.
func (e *exchange) pickTarget() string {
	targets := e.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.request.AttemptID)) // hash.Hash never returns an error
	at := float64(h.Sum64()%splitGrain) / splitGrain * total
	for _, t := range targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return targets[len(targets)-1].Service
}

func limitOf(w *site.Workspace) quota.Limit { return quota.Limit{Rate: w.Rate, Burst: w.Burst} }

// urgency returns the request's priority at the upstream, from 0 (admitted first) to 9. The
// workspace's priority, if set, overrides the route's.
func (e *exchange) urgency() int {
	rank := e.route.Priority
	if e.workspace != nil && e.workspace.Priority != nil {
		rank = *e.workspace.Priority
	}
	return min(max(rank, 0), 9)
}
