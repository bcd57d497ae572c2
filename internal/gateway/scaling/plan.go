package scaling

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

const (
	// assumedPrefillRate is the number of prompt tokens that an engine is assumed to read per second
	// until it is measured.
	assumedPrefillRate = 39_000
	// targetUtilization is the fraction of the prefill rate at which first events are still on time:
	// prompts arrive in bursts, and engines generate tokens at the same time.
	targetUtilization = 0.42
	// targetOccupancy is the fraction of the slots in use at which requests rarely wait for one.
	targetOccupancy = 0.75
	// loadedLatencyRatio is the latency ratio (balance.Balancer.LatencyRatio) of engines at
	// targetUtilization that read assumedPrefillRate tokens per second. Under less load it is lower, and
	// fewer upstreams suffice, but not less than minSpeedFactor of the number: their speed for
	// generated tokens is not measured.
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
	// PrefillRate is the number of prompt tokens that a typical upstream reads per second; 0 while
	// it is unknown.
	PrefillRate float64
	// MeanSpeed is the mean speed of the upstreams that take requests, relative to a typical one; 0
	// if unknown.
	MeanSpeed float64
	// OpenRequests is the number of requests in progress at all upstreams, and Slots the number that
	// one runs concurrently; 0 if unknown.
	OpenRequests int
	Slots        int
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

// neededUpstreams returns how many upstreams the demand requires: for prefill at targetUtilization,
// and for generating tokens at targetOccupancy.
func neededUpstreams(in Inputs) int {
	if !in.Measured {
		return max(int(math.Ceil(unmeasuredFraction*float64(in.PeakOnDemand))), len(in.Domains))
	}
	prefill := neededForPrefill(in)
	if in.MeanSpeed > 0 {
		prefill /= in.MeanSpeed
	}
	return max(int(math.Ceil(max(prefill, neededForSlots(in)))), len(in.Domains))
}

// neededForPrefill returns how many typical upstreams read the prompts.
func neededForPrefill(in Inputs) float64 {
	rate := in.PrefillRate
	if rate <= 0 {
		rate = assumedPrefillRate
	}
	return loadFactor(in.LatencyRatio*rate/assumedPrefillRate) * in.PrefillDemand / (rate * targetUtilization)
}

// neededForSlots returns how many upstreams have slots for the requests in progress. It does not
// depend on their speed: slower ones hold a request for longer.
func neededForSlots(in Inputs) float64 {
	if in.Slots <= 0 {
		return 0
	}
	return float64(in.OpenRequests) / (float64(in.Slots) * targetOccupancy)
}

// loadFactor returns the fraction of the upstreams that suffices, as they are less loaded than at
// targetUtilization.
func loadFactor(latencyRatio float64) float64 {
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
