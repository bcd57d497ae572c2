package scaling

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

const (
	// prefillRate is the number of prompt tokens that one of the users' engines reads per second.
	prefillRate = 39_000
	// targetUtilization is the fraction of prefillRate at which first events are still on time:
	// prompts arrive in bursts, and engines generate tokens at the same time.
	targetUtilization = 0.42
	// loadedLatencyRatio is the latency ratio (balance.Balancer.LatencyRatio) of engines at
	// targetUtilization. Faster engines have a lower one, and fewer of them suffice, but not less
	// than minSpeedFactor of the number: their speed for generated tokens is not measured.
	loadedLatencyRatio = 1.35
	minSpeedFactor     = 0.65
	// reclaimableFactor is the number of reclaimable upstreams as a multiple of the upstreams
	// needed. The surplus covers what a domain loses in a reclaim until it is replaced.
	reclaimableFactor = 1.8
	// unmeasuredFraction is the fraction of the upstreams running at the start that is kept until
	// demand has been measured.
	unmeasuredFraction = 0.5
)

// Domain describes the upstreams of a service in one failure domain.
type Domain struct {
	Name string
	// OnDemand and Reclaimable are the numbers of upstreams that take requests.
	OnDemand    int
	Reclaimable int
	// Pending is the number of reclaimable upstreams that were ordered and have not started yet.
	Pending int
	// ReclaimableUnavailable is true while no reclaimable upstreams are available.
	ReclaimableUnavailable bool
}

// Inputs are the inputs of Plan.
type Inputs struct {
	Scaling site.Scaling
	Domains []Domain
	// PrefillDemand is the demand in prompt tokens per second that are not cached.
	PrefillDemand float64
	// LatencyRatio is the ratio of the measured to the modelled time to the first event; 0 while it
	// is unknown.
	LatencyRatio float64
	// Measured is false until requests have arrived for long enough to measure the demand.
	Measured bool
	// PeakOnDemand is the largest number of on-demand upstreams seen since the start.
	PeakOnDemand int
}

// Order sets the number of upstreams of one kind in a failure domain.
type Order struct {
	Domain      string
	Reclaimable bool
	Count       int
}

// Plan returns the orders for all domains: enough reclaimable upstreams for the whole demand with
// a surplus, and as many on-demand upstreams as would be missing if any one domain lost its
// reclaimable ones.
func Plan(in Inputs) []Order {
	slices.SortFunc(in.Domains, func(a, b Domain) int { return comparePrices(in.Scaling, a.Name, b.Name) })
	needed := neededUpstreams(in)
	reclaimable := distribute(in, int(math.Ceil(reclaimableFactor*float64(needed))), func(d Domain) bool { return !d.ReclaimableUnavailable })
	missing := needed
	if in.Measured {
		missing -= reclaimableAfterWorstLoss(in.Domains)
	}
	onDemand := distribute(in, missing, func(Domain) bool { return true })
	return buildOrders(in, onDemand, reclaimable)
}

// neededUpstreams returns how many upstreams the demand requires at targetUtilization.
func neededUpstreams(in Inputs) int {
	if !in.Measured {
		return max(int(math.Ceil(unmeasuredFraction*float64(in.PeakOnDemand))), len(in.Domains))
	}
	return max(int(math.Ceil(speedFactor(in.LatencyRatio)*in.PrefillDemand/(prefillRate*targetUtilization))), len(in.Domains))
}

// speedFactor returns the fraction of the upstreams that suffices, as engines are faster than
// assumed.
func speedFactor(latencyRatio float64) float64 {
	if latencyRatio <= 0 {
		return 1
	}
	return min(max(latencyRatio/loadedLatencyRatio, minSpeedFactor), 1)
}

// reclaimableAfterWorstLoss returns how many reclaimable upstreams remain when the domain with
// the most of them loses all of its own.
func reclaimableAfterWorstLoss(domains []Domain) int {
	sum, most := 0, 0
	for _, d := range domains {
		n := d.Reclaimable + d.Pending
		sum += n
		most = max(most, n)
	}
	return sum - most
}

// distribute spreads count upstreams evenly over the eligible domains, the cheapest first, up to
// the maximum of each domain.
func distribute(in Inputs, count int, eligible func(Domain) bool) map[string]int {
	out := make(map[string]int)
	for count > 0 {
		before := count
		for _, d := range in.Domains {
			if count > 0 && eligible(d) && out[d.Name] < in.Scaling.Max {
				out[d.Name]++
				count--
			}
		}
		if count == before {
			break
		}
	}
	return out
}

// buildOrders returns an order of each kind for each domain; both kinds together stay within the
// domain's bounds.
func buildOrders(in Inputs, onDemand, reclaimable map[string]int) []Order {
	var out []Order
	for _, d := range in.Domains {
		onDemandCount := max(onDemand[d.Name], in.Scaling.Min-d.Reclaimable)
		onDemandCount = min(max(onDemandCount, 0), in.Scaling.Max)
		out = append(out, Order{Domain: d.Name, Count: onDemandCount})
		if !d.ReclaimableUnavailable {
			out = append(out, Order{Domain: d.Name, Reclaimable: true, Count: min(reclaimable[d.Name], in.Scaling.Max-onDemandCount)})
		}
	}
	return out
}

func comparePrices(s site.Scaling, a, b string) int {
	return cmp.Or(cmp.Compare(s.DomainPrices[a], s.DomainPrices[b]), cmp.Compare(a, b))
}
