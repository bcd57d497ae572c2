package capacity

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

// candidate is a pool that a replica could be started in.
type candidate struct {
	offer cloud.Offer
	// cost is the price with what the risk of a reclaim and crowding are worth.
	cost float64
	// here is how many replicas of the model the failure domain has.
	here int
}

// choose returns the pool for one more replica of a model, and its cost: the
// cheapest, counting what its risks are worth to the site, then the emptiest.
func (p *planner) choose(model config.Model) (offer cloud.Offer, cost float64, ok bool) {
	open := p.openOffers()
	if len(open) == 0 {
		return cloud.Offer{}, 0, false
	}
	perDomain := countDomains(p.staying(model.Name))
	share := p.domainShare(model, open, perDomain)
	all := make([]candidate, 0, len(open))
	for _, offer := range open {
		here := perDomain[offer.FailureDomain]
		all = append(all, candidate{offer: offer, cost: p.cost(offer.Pool, offer.PricePerHour, here >= share), here: here})
	}
	best := slices.MinFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.here, b.here),
			cmp.Compare(a.offer.FailureDomain, b.offer.FailureDomain),
			cmp.Compare(a.offer.HostClass, b.offer.HostClass),
		)
	})
	return best.offer, best.cost, true
}

// openOffers returns the offers that one more host can be started from now.
func (p *planner) openOffers() []cloud.Offer {
	var out []cloud.Offer
	for _, offer := range p.in.Offers {
		if p.affordable(offer) && !slices.Contains(p.in.Resting, offer.Pool) {
			out = append(out, offer)
		}
	}
	return out
}

// cost is the price of a host with what the risk of a reclaim, and of too many
// replicas in one failure domain, are worth to the site.
func (p *planner) cost(pool cloud.Pool, price float64, crowded bool) float64 {
	latency := p.in.Site.Weights.Latency
	cost := price
	if pool.Market == cloud.MarketReclaimable {
		cost *= 1 + reclaimRiskShare*latency
	}
	if crowded {
		cost *= 1 + crowdingCostOnly + latency*(crowdingLatencyOnly-crowdingCostOnly)
	}
	return cost
}

// domainShare is how many replicas of a model one failure domain should have at
// most: half of them when only cost counts, an even share when only latency does.
// Failure domains that have none and can get none do not count.
func (p *planner) domainShare(model config.Model, open []cloud.Offer, perDomain map[ident.FailureDomain]int) int {
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
	share := maxDomainShare - p.in.Site.Weights.Latency*(maxDomainShare-even)
	return int(math.Ceil(share * float64(model.Replicas)))
}

// affordable reports whether the site pays for one more host of an offer.
func (p *planner) affordable(offer cloud.Offer) bool {
	for _, row := range p.in.Site.Capacity {
		if poolOf(row) == offer.Pool {
			return offer.PricePerHour <= row.MaxPricePerHour && p.paid(offer.Pool) < row.MaxHosts
		}
	}
	return false
}

// paid counts the hosts of a pool that are paid for or will be; the ones that leave are among them.
func (p *planner) paid(pool cloud.Pool) int {
	n := 0
	p.intents(func(i *Intent) {
		if i.Pool == pool {
			n++
		}
	})
	return n
}

// poolOf returns the pool that a row of the capacity is about.
func poolOf(row config.Capacity) cloud.Pool {
	market := cloud.MarketOnDemand
	if row.Reclaimable {
		market = cloud.MarketReclaimable
	}
	return cloud.Pool{FailureDomain: row.FailureDomain, HostClass: row.HostClass, Market: market}
}
