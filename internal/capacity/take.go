package capacity

import (
	"cmp"
	"slices"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
)

// Taking is the decision that a running host is emptied and then given to a more
// urgent model.
type Taking struct {
	Host ident.Host
	// From is the less urgent model, and To the one that gets the host.
	From, To ident.Model
}

// minReplicasLeft is how many ready replicas a model keeps when its hosts are taken,
// unless the one that takes them has none.
const minReplicasLeft = 1

// take lets a model that gets no host by a start have one of a less urgent model; it
// reports whether there is one. The host is emptied first.
func (p *planner) take(model config.Model) bool {
	for _, other := range slices.Backward(p.modelsByPriority()) {
		if other.Priority >= model.Priority {
			return false
		}
		if i := p.takeable(model, other); i != nil {
			i.Phase, i.Next, i.LeavingSinceMs = PhaseMoving, model.Name, p.in.Now.UnixMilli()
			p.takings = append(p.takings, Taking{Host: i.Host, From: i.Model, To: model.Name})
			return true
		}
	}
	return false
}

// takeable returns the host of another model that costs a model least, or nil.
func (p *planner) takeable(model, other config.Model) *Intent {
	staying := p.staying(other.Name)
	if countReady(staying) <= minReplicasLeft && len(p.staying(model.Name)) > 0 {
		return nil
	}
	staying = slices.DeleteFunc(staying, func(i *Intent) bool { return i.Phase != PhaseReady || !p.reloadable(i) })
	if len(staying) == 0 {
		return nil
	}
	perDomain := countDomains(p.staying(model.Name))
	share := p.domainShare(model, p.openOffers(), perDomain)
	cost := func(i *Intent) float64 {
		return p.cost(i.Pool, i.PricePerHour, perDomain[i.Pool.FailureDomain] >= share)
	}
	return slices.MinFunc(staying, func(a, b *Intent) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.Token, b.Token))
	})
}

// reloadable reports whether no late order of an earlier holder of the lease can
// load the host's last model over its next one: its engine refuses such an order,
// or only this holder has ever had the host.
func (p *planner) reloadable(i *Intent) bool {
	return checksFencing(p.in.Site, i.Pool) || (i.Fence != 0 && i.Fence == p.in.Fence)
}

// giveBack leaves a host that was to be taken with its model, which it still has loaded.
func (p *planner) giveBack(i *Intent) {
	i.Phase, i.Next, i.LeavingSinceMs = PhaseReady, "", 0
}

// letGo lets a replica go that its model has too many.
func (p *planner) letGo(i *Intent) {
	if i.Phase == PhaseMoving {
		p.giveBack(i)
		return
	}
	p.leave(i)
}
