package balance

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

const (
	// prefillRate is the assumed number of prompt tokens that an engine reads per second while it
	// also generates tokens, until it is measured.
	prefillRate = 35_000
	// minSlowdown and maxSlowdown bound the slowdown of an upstream.
	minSlowdown = 0.7
	maxSlowdown = 30
	// slowdownWeight is the smoothing weight of one latency measurement.
	slowdownWeight = 0.3
	// failureWeight is the smoothing weight of one outcome in the failure rate.
	failureWeight = 0.25
	// recordHalfLife is the half-life of an upstream's failure rate and slowdown, so that an
	// upstream with a bad record is tried again.
	recordHalfLife = 2 * time.Second
	// partTTL is how long after its last use a prompt part is assumed to be cached.
	partTTL = 30 * time.Second
)

// upstreamState is what this node knows about one incarnation of an upstream.
type upstreamState struct {
	upstream site.Upstream
	// openTickets holds the tickets of requests in progress.
	openTickets map[*Ticket]struct{}
	// pendingPrefill is the number of uncached prompt tokens in this node's requests that have
	// had no first event yet.
	pendingPrefill int
	// peerLoad is the outstanding work of the other nodes at this upstream.
	peerLoad Outstanding
	// speed is the upstream's speed as learnt from the timings of all nodes, and speedKey its name in
	// them.
	speed    profile.Upstream
	speedKey uint32
	// slowdown is the smoothed ratio of this node's measured to expected times to the first event.
	slowdown float64
	// failureRate is the smoothed fraction of requests that failed.
	failureRate float64
	// lastFailed is the ID of the request that failed last, and lastBlame what it added to failureRate.
	lastFailed string
	lastBlame  float64
	// updatedAt is when the decay of slowdown and failureRate was last applied, or when a request
	// last failed.
	updatedAt time.Time
	// backoffUntil is the time until which the upstream gets no requests, after it refused a
	// connection or rejected a request.
	backoffUntil time.Time
	// connectFailures is the number of consecutive failed connections.
	connectFailures int
	// parts holds the prompt parts that this node has sent here.
	parts *partCache
}

func newUpstreamState(u site.Upstream, now time.Time) *upstreamState {
	return &upstreamState{
		upstream: u, openTickets: make(map[*Ticket]struct{}), slowdown: 1, updatedAt: now,
		parts: newPartCache(),
	}
}

// open returns the number of requests in progress at the upstream.
func (s *upstreamState) open() int { return len(s.openTickets) + s.peerLoad.Requests }

// work returns what a request with the given number of uncached tokens finds at the upstream.
func (s *upstreamState) work(tokens int) profile.Work {
	return profile.Work{Tokens: tokens, Ahead: s.pendingPrefill + s.peerLoad.PrefillTokens, Open: s.open()}
}

// scale returns how long the upstream takes for what a typical one does in d.
func (s *upstreamState) scale(d time.Duration) time.Duration {
	return time.Duration(s.slowdown / s.speed.Speed() * float64(d))
}

// decay moves slowdown and failureRate towards those of a healthy upstream.
func (s *upstreamState) decay(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed < recordHalfLife/4 {
		return
	}
	keep := decayFactor(elapsed)
	s.failureRate *= keep
	s.slowdown = 1 + (s.slowdown-1)*keep
	s.updatedAt = now
}

// decayFactor returns the factor by which a record decays in elapsed.
func decayFactor(elapsed time.Duration) float64 {
	out := 1.0
	for ; elapsed >= recordHalfLife; elapsed -= recordHalfLife {
		out /= 2
		if out < 1e-3 {
			return 0
		}
	}
	return out * (1 - 0.5*float64(elapsed)/float64(recordHalfLife))
}

// maxOverdue returns the longest time by which a request without a first event exceeds its
// expected latency.
func (s *upstreamState) maxOverdue(now time.Time) time.Duration {
	var overdue time.Duration
	for t := range s.openTickets {
		if !t.started {
			overdue = max(overdue, now.Sub(t.sentAt)-t.expected)
		}
	}
	return overdue
}

// cachedPrefixTokens returns how many tokens at the front of a prompt the upstream has presumably
// cached, judging by this node's own requests. The last part is not counted, as no other request
// shares it.
func (s *upstreamState) cachedPrefixTokens(parts []site.PromptPart, now time.Time) int {
	tokens := 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		used, ok := s.parts.lastUsed(part.ID)
		if !ok || now.Sub(used) > partTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// recordParts records the prompt parts that a request adds to the upstream's cache, and evicts the least
// recently used ones beyond its capacity in tokens, and beyond maxParts.
func (s *upstreamState) recordParts(parts []site.PromptPart, now time.Time, capacity, maxParts int) {
	for _, part := range parts[:max(0, len(parts)-1)] {
		s.parts.record(part, now, capacity)
	}
	s.parts.evict(capacity, maxParts)
}
