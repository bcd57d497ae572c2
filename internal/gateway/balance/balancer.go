package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/rendezvous"
)

const (
	// baseTime is what a first event takes at an idle engine beside the prompt, as measured: about 40 ms.
	baseTime = 40 * time.Millisecond
	// minExpected keeps ratios of tiny times from meaning anything.
	minExpected = 30 * time.Millisecond
	// perOpen is what each request that runs at an engine adds to the time of a step.
	perOpen = 400 * time.Microsecond
	// plainTime is the time of a request at a plain upstream, per request before it in its slots.
	plainTime = 50 * time.Millisecond
	// failureCost is what an upstream that always fails costs more.
	failureCost = 2 * time.Second
	// farCost is what another failure domain costs more.
	farCost = 2 * time.Millisecond
	// firstAvoid, doubled with each failure up to maxAvoid, is how long an upstream
	// that took no connection gets no work.
	firstAvoid = 250 * time.Millisecond
	maxAvoid   = 3 * time.Second
	// rejectedPause is how long an upstream that had no room gets no work.
	rejectedPause = 60 * time.Millisecond
	// defaultCacheTokens is the cache of an engine whose size is not told.
	defaultCacheTokens = 300_000
	// cacheShare is the part of an engine's memory that holds shared parts; the rest is running requests.
	cacheShare = 0.6
)

// Outstanding is open work at an upstream.
type Outstanding struct {
	Requests int
	Prefill  int
}

// Balancer chooses upstreams. It is safe for concurrent use.
type Balancer struct {
	domain string
	now    func() time.Time

	mu     sync.Mutex
	states map[string]*state
	others map[uint32]Outstanding
	// closures holds the upstreams that asked in an answer to be left alone, by ID.
	closures map[string]*closed
}

// New returns a balancer of a node in domain.
func New(domain string, now func() time.Time) *Balancer {
	return &Balancer{domain: domain, now: now, states: make(map[string]*state), closures: make(map[string]*closed)}
}

// Choice is what a request may be sent to.
type Choice struct {
	Service    site.Service
	Candidates []site.Upstream
	// Tried holds the IDs of upstreams that the request was sent to before.
	Tried map[string]bool
}

// Pick takes a place at the cheapest upstream. When there is none it returns nil and
// after what time one may take work again, or 0 when none will.
func (b *Balancer) Pick(r *site.Request, c *Choice) (*Ticket, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	home := b.homeOf(r, c.Candidates, now)
	var best *state
	var bestCost, pause time.Duration
	for _, u := range c.Candidates {
		if c.Tried[u.ID] {
			continue
		}
		closure, left := b.closedAt(u, now)
		if closure == Leaving {
			continue
		}
		s := b.state(u, now)
		if left = max(left, s.avoidUntil.Sub(now)); left > 0 {
			if pause == 0 || left < pause {
				pause = left
			}
			continue
		}
		cost := b.cost(s, r, c.Service, home == u.ID, now)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return nil, pause
	}
	return b.take(best, r, c.Service, home == best.upstream.ID, now), 0
}

// homeOf returns the upstream at which requests with the same prompt part meet.
func (b *Balancer) homeOf(r *site.Request, candidates []site.Upstream, now time.Time) string {
	key := r.PrefixKey()
	if key == "" {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, u := range candidates {
		if closure, _ := b.closedAt(u, now); closure != Open {
			continue
		}
		if score := rendezvous.Score(key, u.ID); best == "" || score > bestScore {
			best, bestScore = u.ID, score
		}
	}
	return best
}

// cost returns the time until the upstream could give a first event.
func (b *Balancer) cost(s *state, r *site.Request, service site.Service, home bool, now time.Time) time.Duration {
	s.fade(now)
	out := b.expected(s, r, service, home, now)
	out = max(out, s.oldestSilent(now))
	out += time.Duration(s.failures * float64(failureCost))
	if s.upstream.FailureDomain != b.domain {
		out += farCost
	}
	if open := len(s.open) + s.others.Requests; open >= s.upstream.Slots {
		out += time.Duration(open-s.upstream.Slots+1) * plainTime
	}
	return out
}

// expected returns after how long a first event would come.
func (b *Balancer) expected(s *state, r *site.Request, service site.Service, home bool, now time.Time) time.Duration {
	open := len(s.open) + s.others.Requests
	if service.Engine == nil {
		return time.Duration(s.slowness * float64(plainTime) * float64(open+1) / float64(max(1, s.upstream.Slots)))
	}
	tokens := s.prefill + s.others.Prefill + uncached(s, r, home, now)
	seconds := float64(tokens) / prefillRate
	out := baseTime + time.Duration(seconds*float64(time.Second)) + time.Duration(open)*perOpen
	return time.Duration(s.slowness * float64(out))
}

// uncached returns the prompt tokens that the upstream would have to read.
func uncached(s *state, r *site.Request, home bool, now time.Time) int {
	if home {
		return ownTokens(r)
	}
	return max(0, r.PromptTokens-s.cachedPrefix(r.Prompt, now))
}

// ownTokens returns the tokens of the prompt that no other request shares.
func ownTokens(r *site.Request) int {
	if len(r.Prompt) == 0 {
		return r.PromptTokens
	}
	return r.Prompt[len(r.Prompt)-1].Tokens
}

func (b *Balancer) take(s *state, r *site.Request, service site.Service, home bool, now time.Time) *Ticket {
	t := &Ticket{Upstream: s.upstream, balancer: b, state: s, sent: now}
	t.expected = b.expected(s, r, service, home, now)
	if service.Engine != nil {
		t.Uncached = uncached(s, r, home, now)
		s.prefill += t.Uncached
		s.remember(r.Prompt, now, cacheRoom(service.Engine))
	}
	s.open[t] = struct{}{}
	return t
}

func cacheRoom(e *site.Engine) int {
	if e.CacheTokens > 0 {
		return int(cacheShare * float64(e.CacheTokens))
	}
	return int(cacheShare * defaultCacheTokens)
}

// state returns the state of an upstream, made anew when it started again.
func (b *Balancer) state(u site.Upstream, now time.Time) *state {
	s := b.states[u.ID]
	if s == nil || !s.upstream.Born.Equal(u.Born) || s.upstream.Address != u.Address {
		s = newState(u, now)
		s.others = b.others[HashOf(u.ID)]
		b.states[u.ID] = s
	}
	s.upstream = u
	return s
}

// SetOthers takes over what the other nodes have open, by the hash of the upstream's ID.
func (b *Balancer) SetOthers(loads map[uint32]Outstanding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = loads
	for id, s := range b.states {
		s.others = loads[HashOf(id)]
	}
}

// Own returns what this node has open, by the hash of the upstream's ID.
func (b *Balancer) Own() map[uint32]Outstanding {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[uint32]Outstanding)
	for id, s := range b.states {
		if len(s.open) > 0 {
			out[HashOf(id)] = Outstanding{Requests: len(s.open), Prefill: s.prefill}
		}
	}
	return out
}

// Keep drops the states of upstreams that are gone and have nothing open.
func (b *Balancer) Keep(known map[string]site.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if _, ok := known[id]; !ok && len(s.open) == 0 {
			delete(b.states, id)
		}
	}
}

// HashOf returns the short name of an upstream between nodes.
func HashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) } //nolint:gosec // the low half is meant
