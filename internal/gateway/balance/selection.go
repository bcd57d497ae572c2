package balance

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/routeplan"
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

// selection is how one of some candidates is chosen.
type selection struct {
	// unseen is the number of requests that other nodes have presumably sent since their figures.
	unseen float64
	// level is the cost that these reach; it is used if list is not nil.
	level time.Duration
	list  []spread.Candidate
	// only is the index of the candidate that is chosen for sure, or -1.
	only int
}

// selectionAmong returns how one of the candidates is chosen: the preferred one, unless others are
// cheaper in spite of what other nodes have sent there meanwhile, else one of these by its share of
// that traffic. With fresh figures it is the cheapest.
func (b *Balancer) selectionAmong(candidates []candidate, r *site.Request, service site.Service, now time.Time) selection {
	out := selection{unseen: b.unseenRequests(service.Name, now), only: -1}
	out.unseen = min(out.unseen, float64(maxUnseenPerCandidate*len(candidates)))
	if out.unseen < minUnseen {
		out.only = cheapest(candidates)
		return out
	}
	out.list = make([]spread.Candidate, len(candidates))
	home := -1
	for i, c := range candidates {
		out.list[i] = spread.Candidate{Cost: c.cost.total(), PerRequest: b.perRequest(c.state, service)}
		if c.preferred {
			home = i
			out.list[i].Cost = c.cost.wait + b.expectedLatency(c.state, r, service, false, now).own
		}
	}
	out.level = spread.Level(out.list, out.unseen)
	if home >= 0 && candidates[home].cost.total() <= out.level {
		out.only = home
	}
	return out
}

// decision returns how the upstream is chosen.
func (s *selection) decision() routeplan.Decision {
	switch {
	case s.only < 0:
		return routeplan.Shares
	case s.list == nil:
		return routeplan.LeastCost
	}
	return routeplan.CachedPrompt
}

// choose returns the candidate for a request.
func (b *Balancer) choose(candidates []candidate, r *site.Request, service site.Service, now time.Time) candidate {
	s := b.selectionAmong(candidates, r, service, now)
	b.decisions[s.decision()]++
	if s.only >= 0 {
		return candidates[s.only]
	}
	return candidates[spread.Choose(s.list, s.level, b.random)]
}

// Decisions returns how many upstreams were chosen in the given way.
func (b *Balancer) Decisions(d routeplan.Decision) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decisions[d]
}

// FiguresAge returns how old the known load of the other nodes is on average; 0 if none is known.
func (b *Balancer) FiguresAge() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.figuresAge(b.now())
}

// cheapest returns the index of the candidate with the lowest cost.
func cheapest(candidates []candidate) int {
	best := 0
	for i, c := range candidates {
		if c.cost.total() < candidates[best].cost.total() {
			best = i
		}
	}
	return best
}

// unseenRequests returns how many requests the other nodes have presumably sent to the service
// since their figures, if each gets as many as this one.
func (b *Balancer) unseenRequests(service string, now time.Time) float64 {
	return b.trafficOf(service).rate(now) * float64(b.figures.Nodes) * b.figuresAge(now).Seconds()
}

// figuresAge returns how old the known load of the other nodes is now.
func (b *Balancer) figuresAge(now time.Time) time.Duration {
	if b.figures.Nodes == 0 {
		return 0
	}
	return b.figures.Age + now.Sub(b.figuresAt)
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
