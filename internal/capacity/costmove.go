package capacity

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/config"
)

const (
	// costMoveShare is the share of a model's replicas that may be moved to cheaper hosts at a
	// time.
	costMoveShare = 0.05
	// minCostMoveSaving is the least share of a replica's cost that a move must save.
	minCostMoveSaving = 0.2
)

// maxParallelMoves is how many replicas of a model may be moving to cheaper hosts at a time, or
// changing their role.
func maxParallelMoves(model config.Model) int {
	return int(math.Ceil(costMoveShare * float64(model.Replicas)))
}

// addCheaperReplicas adds replicas on cheaper hosts when all replicas of a model are ready; once
// the new ones are ready too, removeSurplus removes the most expensive.
func (p *planner) addCheaperReplicas(model config.Model) {
	staying := p.stayingIntents(model.Name)
	if len(staying) != model.Replicas || countReady(staying) != len(staying) || p.surgeReplicas(model) > 0 {
		return
	}
	costs := p.replicaCosts(model, staying)
	slices.SortFunc(costs, func(a, b float64) int { return cmp.Compare(b, a) })
	for k := range min(maxParallelMoves(model), len(costs)) {
		offer, cost, ok := p.chooseOffer(model)
		if !ok || cost > (1-minCostMoveSaving)*costs[k] {
			return
		}
		p.addIntent(model, offer)
	}
}

// costMovePending reports whether a model's surplus replicas are due to an unfinished move to
// cheaper hosts. Taking over a host of another model is not such a move.
func (p *planner) costMovePending(model config.Model, staying []*Intent) bool {
	if slices.ContainsFunc(staying, func(i *Intent) bool { return i.Phase == PhaseMoving }) {
		return false
	}
	ready := countReady(staying)
	return ready >= model.Replicas && ready < len(staying) && len(staying)-model.Replicas <= maxParallelMoves(model)
}

// replicaCosts returns the costs of the given replicas where they are, risks included, in the same
// order.
func (p *planner) replicaCosts(model config.Model, staying []*Intent) []float64 {
	perDomain := countByDomain(staying)
	maxPerDomain := p.maxReplicasPerDomain(model, p.openOffers(), perDomain)
	out := make([]float64, 0, len(staying))
	for _, i := range staying {
		out = append(out, p.cost(i.Pool, i.PricePerHour, perDomain[i.Pool.FailureDomain] > maxPerDomain))
	}
	return out
}

func countReady(intents []*Intent) int {
	n := 0
	for _, i := range intents {
		if i.Phase == PhaseReady {
			n++
		}
	}
	return n
}
