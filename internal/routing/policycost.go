package routing

import (
	"math"
)

const (
	// typicalPace is the time between tokens that is assumed of an unknown upstream, in seconds.
	typicalPace = 0.025
	// prefillTokensPerSecond is the prefill rate that is assumed of an upstream that does nothing else.
	prefillTokensPerSecond = 12000
	// prefillStretch is how much longer a prefill takes because it goes in parts between decoding steps.
	prefillStretch = 3
	// stepSeconds is what one more running request adds to each decoding step of all.
	stepSeconds = 0.0008
	// blockTokens is how many tokens a block covers.
	blockTokens = BlockBytes / 4
	// otherDomainSeconds is the time that the way to another failure domain adds to a request.
	otherDomainSeconds = 0.004
	// reclaimsPerSecond is the assumed rate of reclaims of a reclaimable upstream.
	reclaimsPerSecond = 1.0 / 3600
	// priceSeconds is what a doubled price counts, as a part of the request's time.
	priceSeconds = 0.5
)

// Cost chooses the candidate that costs the request the least, in seconds of
// its time; the other terms are converted to seconds by their weights.
type Cost struct {
	Weights Weights
}

// Choose implements Policy.
func (p Cost) Choose(s *Selection) *Replica {
	terms := p.termsOf(s)
	noise := s.Random.Uint64()
	var best *Replica
	least := math.Inf(1)
	for _, c := range s.Candidates {
		noise = noise*noiseFactor + 1
		load := float64(s.Load(c)) + float64(noise>>noiseShift)/noiseRange
		cost := terms.cost(s, c, load)
		if cost < least {
			best, least = c, cost
		}
	}
	return best
}

// A linear congruential step tells replicas of equal load apart; its upper 24 bits are used.
const (
	noiseFactor = 6364136223846793005
	noiseShift  = 40
	noiseRange  = 1 << 24
)

// terms are the parts of the cost that are the same for all candidates.
type terms struct {
	weights Weights
	// decode is the time of all tokens at the typical pace, in seconds.
	decode float64
	// perLoad is the time that one more request takes from this one and this one from it.
	perLoad float64
	// price is what the mean price counts, perPrice a unit of price, and reclaim
	// the risk of a reclaim, each for a second of the upstream's time.
	price    float64
	perPrice float64
	reclaim  float64
	prompt   int
}

func (p Cost) termsOf(s *Selection) terms {
	tokens := float64(s.Features.MaxTokens)
	out := terms{
		weights: p.Weights,
		decode:  tokens * typicalPace,
		perLoad: tokens * stepSeconds,
		reclaim: p.Weights.Reclaim * reclaimsPerSecond,
		prompt:  s.Features.PromptTokens,
	}
	if s.MeanPrice > 0 {
		out.price = p.Weights.Price * priceSeconds
		out.perPrice = out.price / s.MeanPrice
	}
	return out
}

// cost returns the cost of c in seconds: the request's own time and the time
// that the others at c lose to it.
func (t *terms) cost(s *Selection, c *Replica, load float64) float64 {
	slow := c.slowness
	decode := t.decode * slow
	prefill := float64(max(0, t.prompt-c.matched*blockTokens)) * (1.0 / prefillTokensPerSecond) * slow
	cost := t.weights.Queue * (decode + queueWait(load, c.room(s.Now), decode) + load*t.perLoad*slow)
	cost += t.weights.Prefix * prefill * (prefillStretch + load)
	if !c.local {
		cost += t.weights.Domain * otherDomainSeconds
	}
	cost += (decode + prefill) * (c.price*t.perPrice - t.price)
	if c.reclaimable {
		cost += t.reclaim * decode * (decode + prefill)
	}
	return cost
}

// queueWait returns how long a request waits for a slot behind load others.
func queueWait(load, room, decode float64) float64 {
	if load < room {
		return 0
	}
	return (load - room + 1) / room * decode
}
