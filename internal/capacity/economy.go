package capacity

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/config"
)

const (
	// economyShare is the part of a model's replicas that is moved to cheaper hosts at a time.
	economyShare = 0.05
	// economyGain is the least part of a price that a move must save.
	economyGain = 0.2
)

// economySteps is how many replicas of a model may be on their way to cheaper hosts.
func economySteps(model config.Model) int {
	return int(math.Ceil(economyShare * float64(model.Replicas)))
}

// economize adds replicas on cheaper hosts when all of a model's are ready; once
// those are ready too, shrink lets the dearest go.
func (p *planner) economize(model config.Model) {
	staying := p.staying(model.Name)
	if len(staying) != model.Replicas || countReady(staying) != len(staying) || p.surge(model) > 0 {
		return
	}
	costs := p.stayingCosts(model, staying)
	slices.SortFunc(costs, func(a, b float64) int { return cmp.Compare(b, a) })
	for k := range min(economySteps(model), len(costs)) {
		offer, cost, ok := p.choose(model)
		if !ok || cost > (1-economyGain)*costs[k] {
			return
		}
		p.add(model, offer)
	}
}

// moving reports whether a model's surplus is a move to cheaper hosts that is not done
// yet. A host that is taken from another model is no such move.
func (p *planner) moving(model config.Model, staying []*Intent) bool {
	if slices.ContainsFunc(staying, func(i *Intent) bool { return i.Phase == PhaseMoving }) {
		return false
	}
	ready := countReady(staying)
	return ready >= model.Replicas && ready < len(staying) && len(staying)-model.Replicas <= economySteps(model)
}

// stayingCosts are what the replicas of a model cost where they are, risks
// included, in the order of staying.
func (p *planner) stayingCosts(model config.Model, staying []*Intent) []float64 {
	perDomain := countDomains(staying)
	share := p.domainShare(model, p.openOffers(), perDomain)
	out := make([]float64, 0, len(staying))
	for _, i := range staying {
		out = append(out, p.cost(i.Pool, i.PricePerHour, perDomain[i.Pool.FailureDomain] > share))
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
