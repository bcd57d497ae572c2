package balance

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/gateway/spread"
)

const (
	// minUnseen is the number of unseen requests from which they are taken into account: with
	// fewer, the figures are as good as fresh.
	minUnseen = 1
	// maxUnseenPerCandidate bounds the unseen requests. A node that has heard nothing for long
	// spreads its requests over all candidates.
	maxUnseenPerCandidate = 8
	// minPerRequest is the least by which a request raises the cost of an upstream.
	minPerRequest = time.Millisecond
)

// candidate is an upstream that a request may be sent to.
type candidate struct {
	state     *upstreamState
	cost      latency
	preferred bool
}

// Figures says how old the known load of the other nodes is.
type Figures struct {
	// Nodes is the number of other nodes that report their load.
	Nodes int
	// Age is the mean time since the reports were made.
	Age time.Duration
}

// choose returns the candidate for a request: the preferred one, unless others are cheaper in spite
// of what other nodes have sent there meanwhile, else one of these by its share of that traffic.
func (b *Balancer) choose(candidates []candidate, r *site.Request, service site.Service, now time.Time) candidate {
	unseen := min(b.unseenRequests(service.Name, now), float64(maxUnseenPerCandidate*len(candidates)))
	if unseen < minUnseen {
		return cheapest(candidates)
	}
	list := make([]spread.Candidate, len(candidates))
	home := -1
	for i, c := range candidates {
		list[i] = spread.Candidate{Cost: c.cost.total(), PerRequest: b.perRequest(c.state, service)}
		if c.preferred {
			home = i
			list[i].Cost = c.cost.wait + b.expectedLatency(c.state, r, service, false, now).own
		}
	}
	level := spread.Level(list, unseen)
	if home >= 0 && candidates[home].cost.total() <= level {
		return candidates[home]
	}
	return candidates[spread.Choose(list, level, b.random)]
}

func cheapest(candidates []candidate) candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.cost.total() < best.cost.total() {
			best = c
		}
	}
	return best
}

// unseenRequests returns how many requests the other nodes have presumably sent to the service
// since their figures, if each gets as many as this one.
func (b *Balancer) unseenRequests(service string, now time.Time) float64 {
	age := b.figures.Age + now.Sub(b.figuresAt)
	return b.trafficOf(service).rate(now) * float64(b.figures.Nodes) * age.Seconds()
}

// perRequest returns by how much one more request raises the cost of an upstream.
func (b *Balancer) perRequest(s *upstreamState, service site.Service) time.Duration {
	model := b.speeds.modelOf(service)
	if service.Engine == nil {
		return max(perPlainRequest(s, model), minPerRequest)
	}
	tokens := int(b.trafficOf(service.Name).uncachedTokens)
	return max(s.scale(model.Wait(profile.Work{Ahead: tokens, Open: 1})), minPerRequest)
}
