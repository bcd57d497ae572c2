package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/routeplan"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/rendezvous"
)

const (
	// baseLatency is the assumed time to the first event at an idle engine, without the prompt's
	// prefill.
	baseLatency = 40 * time.Millisecond
	// minExpectedLatency is the smallest expected latency that a ratio is computed against;
	// ratios of very short times are noise.
	minExpectedLatency = 30 * time.Millisecond
	// latencyPerRequest is what each request running at an engine adds to the time of a batch
	// step.
	latencyPerRequest = 400 * time.Microsecond
	// plainLatency is the assumed latency of a request at an upstream of a plain service, and
	// the penalty for each request beyond the upstream's slots.
	plainLatency = 50 * time.Millisecond
	// failurePenalty is added in full to the cost of an upstream whose requests all fail.
	failurePenalty = 2 * time.Second
	// crossDomainPenalty is added to the cost of an upstream in another failure domain.
	crossDomainPenalty = 2 * time.Millisecond
	// initialBackoff is how long an upstream gets no requests after a failed connection. It
	// doubles with each consecutive failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// rejectedBackoff is how long an upstream gets no requests after it rejected one, for
	// instance for lack of capacity.
	rejectedBackoff = 60 * time.Millisecond
	// defaultCacheTokens is the cache size of an engine when the configuration gives none.
	defaultCacheTokens = 300_000
	// sharedCacheFraction is the part of an engine's cache that holds prompt parts shared between
	// requests; running requests use the rest.
	sharedCacheFraction = 0.6
)

// Outstanding is the work in progress at an upstream: open requests and prompt tokens that wait
// for prefill.
type Outstanding struct {
	Requests      int
	PrefillTokens int
}

// Balancer chooses an upstream for each request. It is safe for concurrent use.
type Balancer struct {
	domain string
	now    func() time.Time

	mu        sync.Mutex
	states    map[string]*upstreamState
	peerLoads map[uint32]Outstanding
	// announcements holds, by upstream ID, what upstreams announced in responses: that they are
	// leaving, or that they want no requests for a time.
	announcements map[string]*announcement
	latencyRatio  latencyRatio
	// figures says how old peerLoads were at figuresAt.
	figures   Figures
	figuresAt time.Time
	// traffic holds this node's requests by service.
	traffic map[string]*traffic
	// speeds holds what was learnt of the upstreams' speed.
	speeds *speeds
	// failures tells failures of requests from those of upstreams.
	failures failures
	// random returns a number in [0, 1).
	random func() float64
	// maxParts is how many prompt parts are remembered, of all upstreams together.
	maxParts int
	// decisions counts how upstreams were chosen.
	decisions map[routeplan.Decision]int64
}

// New returns the balancer of a node in the failure domain, which remembers at most maxParts prompt parts.
// random returns a number in [0, 1).
func New(domain string, maxParts int, now func() time.Time, random func() float64) *Balancer {
	return &Balancer{
		domain: domain, maxParts: maxParts, now: now, random: random, states: make(map[string]*upstreamState),
		announcements: make(map[string]*announcement), traffic: make(map[string]*traffic), decisions: make(map[routeplan.Decision]int64),
		speeds: newSpeeds(), failures: make(failures),
	}
}

// maxPartsEach returns how many prompt parts are remembered of each upstream. The caller holds b.mu.
func (b *Balancer) maxPartsEach() int { return max(1, b.maxParts/max(1, len(b.states))) }

// PickOptions lists the upstreams that a request may be sent to.
type PickOptions struct {
	Service    site.Service
	Candidates []site.Upstream
	// Tried holds the IDs of upstreams that the request was already sent to.
	Tried map[string]bool
}

// Pick opens a ticket at an upstream of low cost. When no upstream is available it returns nil and
// the time until one may be, or 0 if none will be.
func (b *Balancer) Pick(r *site.Request, c *PickOptions) (*Ticket, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	candidates, pause := b.candidates(r, c, now)
	if len(candidates) == 0 {
		return nil, pause
	}
	chosen := b.choose(candidates, r, c.Service, now)
	ticket := b.openTicket(chosen.state, r, c.Service, chosen.preferred, now)
	ticket.failedBefore = b.failedStates(r.AttemptID, c.Tried)
	return ticket, 0
}

// candidates returns the upstreams that are available now, with their costs. If there is none, it
// returns the time until one may be, or 0 if none will be.
func (b *Balancer) candidates(r *site.Request, c *PickOptions, now time.Time) (out []candidate, pause time.Duration) {
	preferred := b.preferredUpstream(r, c.Candidates, now)
	out = make([]candidate, 0, len(c.Candidates))
	for _, u := range c.Candidates {
		if c.Tried[u.ID] {
			continue
		}
		availability, left := b.availabilityOf(u, now)
		if availability == Leaving {
			continue
		}
		s := b.stateOf(u, now)
		if left = max(left, s.backoffUntil.Sub(now)); left > 0 {
			if pause == 0 || left < pause {
				pause = left
			}
			continue
		}
		out = append(out, candidate{state: s, cost: b.cost(s, r, c.Service, preferred == u.ID, now), preferred: preferred == u.ID})
	}
	return out, pause
}

// preferredUpstream returns the ID of the upstream that all nodes prefer for the request's shared
// prompt part (rendezvous hashing), so that it is cached in one place. Each upstream is preferred for
// parts in proportion to its capacity. It is empty for a request without a prompt.
func (b *Balancer) preferredUpstream(r *site.Request, candidates []site.Upstream, now time.Time) string {
	key := r.PrefixKey()
	if key == "" {
		return ""
	}
	best, bestScore := "", 0.0
	for _, u := range candidates {
		if availability, _ := b.availabilityOf(u, now); availability != Open {
			continue
		}
		score := rendezvous.WeightedScore(key, u.ID, capacity(b.stateOf(u, now)))
		if best == "" || score > bestScore {
			best, bestScore = u.ID, score
		}
	}
	return best
}

// capacity returns the upstream's speed relative to the service's others: 1 when unknown.
func capacity(s *upstreamState) float64 { return s.speed.Speed() }

// cost returns the estimated time to the first event at the upstream, plus penalties.
func (b *Balancer) cost(s *upstreamState, r *site.Request, service site.Service, preferred bool, now time.Time) latency {
	s.decay(now)
	out := b.expectedLatency(s, r, service, preferred, now)
	out.wait = max(out.wait, s.maxOverdue(now)-out.own)
	out.wait += time.Duration(s.failureRate * float64(failurePenalty))
	if s.upstream.FailureDomain != b.domain {
		out.wait += crossDomainPenalty
	}
	if open := s.open(); open >= s.upstream.Slots {
		out.wait += time.Duration(open-s.upstream.Slots+1) * plainLatency
	}
	return out
}

// expectedLatency returns the estimated time to the first event, without penalties.
func (b *Balancer) expectedLatency(s *upstreamState, r *site.Request, service site.Service, preferred bool, now time.Time) latency {
	model := b.speeds.modelOf(service)
	if service.Engine == nil {
		return latency{wait: time.Duration(s.open()) * perPlainRequest(s, model), own: s.scale(model.Base())}
	}
	return latency{wait: s.scale(model.Wait(s.work(0))), own: s.scale(model.Own(uncachedTokens(s, r, preferred, now)))}
}

// perPlainRequest returns what each request in progress at an upstream of a plain service adds to the
// time of the next.
func perPlainRequest(s *upstreamState, model *profile.Service) time.Duration {
	return s.scale(model.Base()) / time.Duration(max(1, s.upstream.Slots))
}

// uncachedTokens returns the number of prompt tokens that the upstream would have to prefill.
func uncachedTokens(s *upstreamState, r *site.Request, preferred bool, now time.Time) int {
	if preferred {
		return unsharedTokens(r)
	}
	return max(0, r.PromptTokens-s.cachedPrefixTokens(r.Prompt, now))
}

// unsharedTokens returns the number of tokens in the last prompt part, which no other request
// shares.
func unsharedTokens(r *site.Request) int {
	if len(r.Prompt) == 0 {
		return r.PromptTokens
	}
	return r.Prompt[len(r.Prompt)-1].Tokens
}

func (b *Balancer) openTicket(s *upstreamState, r *site.Request, service site.Service, preferred bool, now time.Time) *Ticket {
	t := &Ticket{Upstream: s.upstream, balancer: b, state: s, sentAt: now, attempt: r.AttemptID}
	t.service = b.speeds.modelOf(service)
	t.expected = b.expectedLatency(s, r, service, preferred, now).total()
	if service.Engine != nil {
		t.UncachedTokens = uncachedTokens(s, r, preferred, now)
	}
	t.work = s.work(t.UncachedTokens)
	if service.Engine != nil {
		s.pendingPrefill += t.UncachedTokens
		s.recordParts(r.Prompt, now, sharedCacheCapacity(service.Engine), b.maxPartsEach())
	}
	s.openTickets[t] = struct{}{}
	b.trafficOf(service.Name).add(t.UncachedTokens, now)
	return t
}

func sharedCacheCapacity(e *site.Engine) int {
	if e.CacheTokens > 0 {
		return int(sharedCacheFraction * float64(e.CacheTokens))
	}
	return int(sharedCacheFraction * defaultCacheTokens)
}

// stateOf returns the state of the upstream. It is created anew when the upstream was restarted.
func (b *Balancer) stateOf(u site.Upstream, now time.Time) *upstreamState {
	s := b.states[u.ID]
	if s == nil || !s.upstream.SameStart(u) || s.upstream.Address != u.Address {
		b.speeds.remove(s)
		s = newUpstreamState(u, now)
		s.peerLoad = b.peerLoads[UpstreamHash(u.ID)]
		b.states[u.ID] = s
	}
	if u.StartedAt.IsZero() {
		u.StartedAt = s.upstream.StartedAt
	}
	known := s.upstream.StartedAt.Equal(u.StartedAt) && s.speedKey != 0
	s.upstream = u
	if !known {
		b.speeds.add(s)
	}
	return s
}

// SetPeerLoads sets the outstanding work of the other nodes, keyed by UpstreamHash of the
// upstream's ID, and how old these figures are.
func (b *Balancer) SetPeerLoads(loads map[uint32]Outstanding, figures Figures) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerLoads = loads
	b.figures, b.figuresAt = figures, b.now()
	for id, s := range b.states {
		s.peerLoad = loads[UpstreamHash(id)]
	}
}

// LocalLoads returns this node's outstanding work, keyed by UpstreamHash of the upstream's ID.
func (b *Balancer) LocalLoads() map[uint32]Outstanding {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[uint32]Outstanding)
	for id, s := range b.states {
		if len(s.openTickets) > 0 {
			out[UpstreamHash(id)] = Outstanding{Requests: len(s.openTickets), PrefillTokens: s.pendingPrefill}
		}
	}
	return out
}

// Outstanding returns the number of requests in progress at an upstream, those of other nodes included.
func (b *Balancer) Outstanding(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s == nil {
		return b.peerLoads[UpstreamHash(id)].Requests
	}
	return len(s.openTickets) + s.peerLoad.Requests
}

// PruneStates deletes the states of upstreams that are no longer known and have no open tickets.
func (b *Balancer) PruneStates(known map[string]site.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if _, ok := known[id]; !ok && len(s.openTickets) == 0 {
			b.speeds.remove(b.states[id])
			delete(b.states, id)
		}
	}
}

// UpstreamHash returns the short identifier that nodes exchange in place of the upstream's ID.
func UpstreamHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) } //nolint:gosec // the low half is meant
