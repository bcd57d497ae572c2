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
	// crowded is true when the failure domain already has its share of the model.
	crowded bool
	// cost is the price with the risk of a reclaim.
	cost float64
	// here is how many replicas of the model the failure domain has.
	here int
}

// choose returns the pool for one more replica of a model: not in a crowded
// failure domain if it can be helped, then the cheapest, then the emptiest.
func (p *planner) choose(model config.Model) (cloud.Offer, bool) {
	perDomain := countDomains(p.staying(model.Name))
	share := p.domainShare(model)
	var all []candidate
	for _, offer := range p.in.Offers {
		if !p.affordable(offer) || slices.Contains(p.in.Resting, offer.Pool) {
			continue
		}
		here := perDomain[offer.FailureDomain]
		all = append(all, candidate{offer: offer, crowded: here >= share, cost: p.cost(offer), here: here})
	}
	if len(all) == 0 {
		return cloud.Offer{}, false
	}
	best := slices.MinFunc(all, func(a, b candidate) int {
		if a.crowded != b.crowded {
			if a.crowded {
				return 1
			}
			return -1
		}
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.here, b.here),
			cmp.Compare(a.offer.FailureDomain, b.offer.FailureDomain),
			cmp.Compare(a.offer.HostClass, b.offer.HostClass),
		)
	})
	return best.offer, true
}

// cost is the price of an offer with what the risk of a reclaim is worth to the site.
func (p *planner) cost(offer cloud.Offer) float64 {
	if offer.Market == cloud.MarketReclaimable {
		return offer.PricePerHour * (1 + reclaimRiskShare*p.in.Site.Weights.Latency)
	}
	return offer.PricePerHour
}

// domainShare is how many replicas of a model one failure domain should have at
// most: half of them when only cost counts, an even share when only latency does.
func (p *planner) domainShare(model config.Model) int {
	domains := make(map[ident.FailureDomain]bool)
	for _, row := range p.in.Site.Capacity {
		if row.MaxHosts > 0 {
			domains[row.FailureDomain] = true
		}
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
