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
	meanPrice := meanPrice(s.Candidates)
	var best *Replica
	least := math.Inf(1)
	for _, c := range s.Candidates {
		cost := p.cost(s, c, meanPrice)
		if cost < least {
			best, least = c, cost
		}
	}
	return best
}

// cost returns the cost of c in seconds: the request's own time and the time
// that the others at c lose to it.
func (p Cost) cost(s *Selection, c *Replica, meanPrice float64) float64 {
	f := s.Features
	slow := 1.0
	if c.pace > 0 {
		slow = c.pace / typicalPace
	}
	tokens := float64(f.MaxTokens)
	decode := tokens * typicalPace * slow
	uncached := float64(max(0, f.PromptTokens-c.matched*blockTokens))
	prefill := uncached / prefillTokensPerSecond * slow
	load := float64(s.Load(c)) + s.Random.Float64()
	cost := p.Weights.Queue * (decode + queueWait(load, c.room(s.Now), decode) + load*tokens*stepSeconds*slow)
	cost += p.Weights.Prefix * prefill * (prefillStretch + load)
	if c.FailureDomain != s.table.options.Local {
		cost += p.Weights.Domain * otherDomainSeconds
	}
	if meanPrice > 0 {
		cost += p.Weights.Price * (decode + prefill) * (c.PricePerHour/meanPrice - 1) * priceSeconds
	}
	if c.Reclaimable {
		cost += p.Weights.Reclaim * reclaimsPerSecond * decode * (decode + prefill)
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

func meanPrice(candidates []*Replica) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.PricePerHour
	}
	return sum / float64(len(candidates))
}
