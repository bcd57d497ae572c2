package capacity

import (
	"cmp"
	"slices"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
)

// Takeover is the decision to empty a running host and then give it to a more urgent model.
type Takeover struct {
	Host ident.Host
	// From is the less urgent model, and To the one that gets the host.
	From, To ident.Model
}

// minReplicasLeft is how many ready replicas a model keeps when its hosts are taken over, unless
// the model that takes them over has no replica.
const minReplicasLeft = 1

// takeOverHost takes over a host of a less urgent model for a model that could not start one; it
// reports whether there is such a host. The host is emptied first.
func (p *planner) takeOverHost(model config.Model) bool {
	for _, other := range slices.Backward(p.modelsByPriority()) {
		if other.Priority >= model.Priority {
			return false
		}
		if i := p.cheapestTakeover(model, other); i != nil {
			i.Phase, i.Next, i.LeavingSinceMs = PhaseMoving, model.Name, p.in.Now.UnixMilli()
			p.takeovers = append(p.takeovers, Takeover{Host: i.Host, From: i.Model, To: model.Name})
			return true
		}
	}
	return false
}

// cheapestTakeover returns the host of another model whose takeover costs the model least, or nil.
func (p *planner) cheapestTakeover(model, other config.Model) *Intent {
	staying := p.stayingIntents(other.Name)
	if countReady(staying) <= minReplicasLeft && len(p.stayingIntents(model.Name)) > 0 {
		return nil
	}
	staying = slices.DeleteFunc(staying, func(i *Intent) bool { return i.Phase != PhaseReady || !p.safeToReload(i) })
	if len(staying) == 0 {
		return nil
	}
	perDomain := countByDomain(p.stayingIntents(model.Name))
	maxPerDomain := p.maxReplicasPerDomain(model, p.openOffers(), perDomain)
	cost := func(i *Intent) float64 {
		return p.cost(i.Pool, i.PricePerHour, perDomain[i.Pool.FailureDomain] >= maxPerDomain)
	}
	return slices.MinFunc(staying, func(a, b *Intent) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.Token, b.Token))
	})
}

// safeToReload reports whether no late order of an earlier lease holder can load the host's
// previous model over its next one: either its engine refuses such an order, or no other holder has
// ever had the host.
func (p *planner) safeToReload(i *Intent) bool {
	return checksFencing(p.in.Site, i.Pool) || (i.Fence != 0 && i.Fence == p.in.Fence)
}

// cancelTakeover returns a host that was being emptied to its model, which it still has loaded.
func (p *planner) cancelTakeover(i *Intent) {
	i.Phase, i.Next, i.LeavingSinceMs = PhaseReady, "", 0
}

// removeReplica removes a surplus replica of a model.
func (p *planner) removeReplica(i *Intent) {
	if i.Phase == PhaseMoving {
		p.cancelTakeover(i)
		return
	}
	p.startLeaving(i)
}
