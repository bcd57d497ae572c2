package routing

import (
	"math"
)

const (
	// typicalPace is the time between tokens that is assumed of an unknown upstream, in seconds.
	typicalPace = 0.025
	// prefillTokensPerSecond is the prefill rate that is assumed of an upstream.
	prefillTokensPerSecond = 6000
	// blockTokens is how many tokens a block covers.
	blockTokens = BlockBytes / 4
	// otherDomainSeconds is the time that the way to another failure domain adds to a request.
	otherDomainSeconds = 0.004
	// reclaimsPerSecond is the assumed rate of reclaims of a reclaimable upstream.
	reclaimsPerSecond = 1.0 / 3600
	// queueSlowdown is how much a full batch slows down a request, as a part of its time.
	queueSlowdown = 0.5
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

// cost returns the cost of c in seconds.
func (p Cost) cost(s *Selection, c *Replica, meanPrice float64) float64 {
	f := s.Features
	pace := c.pace
	if pace == 0 {
		pace = typicalPace
	}
	decode := float64(f.MaxTokens) * pace
	uncached := float64(max(0, f.PromptTokens-c.matched*blockTokens))
	prefill := uncached / prefillTokensPerSecond * pace / typicalPace
	load := float64(s.Load(c)) + s.Random.Float64()
	room := c.room(s.Now)
	busy := load / room
	wait := decode * queueSlowdown * busy
	if load > room {
		wait += (load - room) / room * decode
	}
	cost := p.Weights.Queue*(decode+wait) + p.Weights.Prefix*prefill
	if c.FailureDomain != s.table.options.Local {
		cost += p.Weights.Domain * otherDomainSeconds
	}
	if meanPrice > 0 {
		cost += p.Weights.Price * (decode + prefill) * (c.PricePerHour/meanPrice - 1) * queueSlowdown
	}
	if c.Reclaimable {
		cost += p.Weights.Reclaim * reclaimsPerSecond * decode * (decode + prefill)
	}
	return cost
}

func meanPrice(candidates []*Replica) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.PricePerHour
	}
	return sum / float64(len(candidates))
}
