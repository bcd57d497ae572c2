package routing

import (
	"math"
)

const (
	// typicalTokenLatency is the time between tokens assumed for an upstream without measurements, in seconds.
	typicalTokenLatency = 0.025
	// prefillTokensPerSecond is the prefill rate assumed for an otherwise idle upstream.
	prefillTokensPerSecond = 12000
	// prefillInterleaveFactor is how many times longer a prefill takes because its chunks
	// alternate with decoding steps.
	prefillInterleaveFactor = 3
	// stepSecondsPerRequest is how much each additional running request lengthens every
	// decoding step of the batch, in seconds.
	stepSecondsPerRequest = 0.0008
	// blockTokens is the number of tokens that a block covers.
	blockTokens = BlockBytes / 4
	// crossDomainSeconds is the network time that a request to another failure domain adds.
	crossDomainSeconds = 0.004
	// reclaimsPerSecond is the rate at which a reclaimable upstream is assumed to be reclaimed.
	reclaimsPerSecond = 1.0 / 3600
	// priceFactor is the cost of a doubled price, as a fraction of the request's time.
	priceFactor = 0.5
)

// CostPolicy chooses the candidate with the lowest cost. All terms are in seconds of the
// request's time; those that are not times are converted by their weights.
type CostPolicy struct {
	Weights Weights
}

// Choose implements Policy.
func (p CostPolicy) Choose(s *Selection) *Replica {
	terms := p.termsOf(s)
	tieBreaker := s.Random.Uint64()
	var best *Replica
	least := math.Inf(1)
	for _, c := range s.Candidates {
		tieBreaker = tieBreaker*lcgMultiplier + 1
		load := float64(s.Load(c)) + float64(tieBreaker>>lcgShift)/lcgRange
		cost := terms.cost(s, c, load)
		if cost < least {
			best, least = c, cost
		}
	}
	return best
}

// A linear congruential generator breaks ties between replicas of equal load; the
// upper 24 bits of its state are used.
const (
	lcgMultiplier = 6364136223846793005
	lcgShift      = 40
	lcgRange      = 1 << 24
)

// costTerms are the parts of the cost that do not depend on the candidate.
type costTerms struct {
	weights Weights
	// decodeSeconds is the time to decode all tokens at typicalTokenLatency.
	decodeSeconds float64
	// secondsPerRequest is the delay between two requests in one batch: what each
	// adds to the time of the other.
	secondsPerRequest float64
	// Each of the next three is a cost per second of the upstream's time: meanPriceCost
	// for the mean price of the pool, costPerPrice for each unit of price, and
	// reclaimRate for the risk of a reclaim.
	meanPriceCost float64
	costPerPrice  float64
	reclaimRate   float64
	promptTokens  int
}

func (p CostPolicy) termsOf(s *Selection) costTerms {
	tokens := float64(s.Features.MaxTokens)
	out := costTerms{
		weights:           p.Weights,
		decodeSeconds:     tokens * typicalTokenLatency,
		secondsPerRequest: tokens * stepSecondsPerRequest,
		reclaimRate:       p.Weights.Reclaim * reclaimsPerSecond,
		promptTokens:      s.Features.PromptTokens,
	}
	if s.MeanPrice > 0 {
		out.meanPriceCost = p.Weights.Price * priceFactor
		out.costPerPrice = out.meanPriceCost / s.MeanPrice
	}
	return out
}

// cost returns the cost of c in seconds: the request's own time plus the time by
// which it delays the other requests at c.
func (t *costTerms) cost(s *Selection, c *Replica, load float64) float64 {
	slowdown := c.slowdown
	decode := t.decodeSeconds * slowdown
	prefill := float64(max(0, t.promptTokens-c.matchedBlocks*blockTokens)) * (1.0 / prefillTokensPerSecond) * slowdown
	cost := t.weights.Queue * (decode + queueWait(load, c.capacity(s.Now), decode) + load*t.secondsPerRequest*slowdown)
	cost += t.weights.Prefix * prefill * (prefillInterleaveFactor + load)
	if !c.local {
		cost += t.weights.Domain * crossDomainSeconds
	}
	cost += (decode + prefill) * (c.price*t.costPerPrice - t.meanPriceCost)
	if c.reclaimable {
		cost += t.reclaimRate * decode * (decode + prefill)
	}
	return cost
}

// queueWait returns how long a request waits for a slot when load requests are ahead of it.
func queueWait(load, capacity, decode float64) float64 {
	if load < capacity {
		return 0
	}
	return (load - capacity + 1) / capacity * decode
}
