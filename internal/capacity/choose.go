package capacity

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

// candidate is a pool in which a replica could be started.
type candidate struct {
	offer cloud.Offer
	// cost is the price per hour, increased for the risk of a reclaim and for crowding.
	cost float64
	// domainReplicas is how many replicas of the model are in the failure domain.
	domainReplicas int
}

// chooseOffer returns the offer for one more replica of a model, and its cost: the cheapest, with
// the site's valuation of risks included, and of equally cheap ones that in the failure domain with
// the fewest replicas of the model.
func (p *planner) chooseOffer(model config.Model) (offer cloud.Offer, cost float64, ok bool) {
	open := p.openOffers()
	if len(open) == 0 {
		return cloud.Offer{}, 0, false
	}
	perDomain := countByDomain(p.stayingIntents(model.Name))
	maxPerDomain := p.maxReplicasPerDomain(model, open, perDomain)
	all := make([]candidate, 0, len(open))
	for _, offer := range open {
		replicasHere := perDomain[offer.FailureDomain]
		all = append(all, candidate{offer: offer, cost: p.cost(offer.Pool, offer.PricePerHour, replicasHere >= maxPerDomain), domainReplicas: replicasHere})
	}
	best := slices.MinFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.domainReplicas, b.domainReplicas),
			cmp.Compare(a.offer.FailureDomain, b.offer.FailureDomain),
			cmp.Compare(a.offer.HostClass, b.offer.HostClass),
		)
	})
	return best.offer, best.cost, true
}

// openOffers returns the offers from which one more host can be started now.
func (p *planner) openOffers() []cloud.Offer {
	var out []cloud.Offer
	for _, offer := range p.in.Offers {
		if p.affordable(offer) && !slices.Contains(p.in.BackedOff, offer.Pool) {
			out = append(out, offer)
		}
	}
	return out
}

// cost returns the price of a host, increased by what the risk of a reclaim, and of too many
// replicas in one failure domain, is worth to the site.
func (p *planner) cost(pool cloud.Pool, price float64, crowded bool) float64 {
	latency := p.in.Site.Weights.Latency
	cost := price
	if pool.Market == cloud.MarketReclaimable {
		cost *= 1 + reclaimPenaltyLatencyOnly*latency
	}
	if crowded {
		cost *= 1 + crowdingPenaltyCostOnly + latency*(crowdingPenaltyLatencyOnly-crowdingPenaltyCostOnly)
	}
	return cost
}

// maxReplicasPerDomain is how many replicas of a model should be in one failure domain at most:
// half of them when only cost counts, an even share when only latency does. Failure domains that
// have no replica and no open offer do not count.
func (p *planner) maxReplicasPerDomain(model config.Model, open []cloud.Offer, perDomain map[ident.FailureDomain]int) int {
	domains := make(map[ident.FailureDomain]bool)
	for _, offer := range open {
		domains[offer.FailureDomain] = true
	}
	for domain := range perDomain {
		domains[domain] = true
	}
	if len(domains) < minDomainsToSpread {
		return math.MaxInt
	}
	even := 1 / float64(len(domains))
	share := maxDomainShareCostOnly - p.in.Site.Weights.Latency*(maxDomainShareCostOnly-even)
	return int(math.Ceil(share * float64(model.Replicas)))
}

// affordable reports whether the site's limits on price and number allow one more host from an
// offer.
func (p *planner) affordable(offer cloud.Offer) bool {
	for _, row := range p.in.Site.Capacity {
		if poolOf(row) == offer.Pool {
			return offer.PricePerHour <= row.MaxPricePerHour && p.countPaidHosts(offer.Pool) < row.MaxHosts
		}
	}
	return false
}

// countPaidHosts counts the hosts of a pool that are or will be billed, leaving ones included.
func (p *planner) countPaidHosts(pool cloud.Pool) int {
	n := 0
	p.forEachIntent(func(i *Intent) {
		if i.Pool == pool {
			n++
		}
	})
	return n
}

// poolOf returns the pool that a row of the declared capacity describes.
func poolOf(row config.Capacity) cloud.Pool {
	market := cloud.MarketOnDemand
	if row.Reclaimable {
		market = cloud.MarketReclaimable
	}
	return cloud.Pool{FailureDomain: row.FailureDomain, HostClass: row.HostClass, Market: market}
}
