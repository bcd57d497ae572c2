package routing

import (
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Policy chooses among the candidates of a request. It is called with the table
// locked and must not retain candidates.
type Policy interface {
	// Choose returns one of s.Candidates, which is never empty.
	Choose(s *Selection) *Replica
}

// Selection is the input of a Policy.
type Selection struct {
	Now        time.Time
	Features   *Features
	Candidates []*Replica
	// MeanPrice is the mean price per hour in the pool.
	MeanPrice float64
	Random    *rand.Rand

	table *Table
}

// Load returns the counted or estimated load of r.
func (s *Selection) Load(r *Replica) int {
	return s.table.load(s.Now, r)
}

// Router chooses upstreams of a table. It is safe for concurrent use: the table's
// lock also guards the router's selection buffer and random source.
type Router struct {
	table     *Table
	policy    Policy
	random    *rand.Rand
	selection Selection
}

// NewRouter returns a router that chooses among the upstreams of table by policy.
func NewRouter(table *Table, policy Policy, random *rand.Rand) *Router {
	return &Router{table: table, policy: policy, random: random}
}

// Pick chooses an upstream for a request. It returns false if none is usable.
func (r *Router) Pick(now time.Time, f *Features) (ident.Upstream, bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	chosen := r.pick(now, f)
	if chosen == nil {
		return "", false
	}
	return chosen.ID, true
}

// Reserve atomically chooses an upstream for a request and counts the request there.
func (r *Router) Reserve(now time.Time, f *Features) (ident.Upstream, bool) {
	reservation, ok := r.ReserveWithCacheInfo(now, f)
	return reservation.Upstream, ok
}

// Reservation is the upstream chosen for a request.
type Reservation struct {
	Upstream ident.Upstream
	// CachedTokens is how many leading prompt tokens the upstream probably has cached.
	CachedTokens int
}

// ReserveWithCacheInfo is like Reserve but also returns how much of the prompt is probably cached.
func (r *Router) ReserveWithCacheInfo(now time.Time, f *Features) (Reservation, bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	chosen := r.pick(now, f)
	if chosen == nil {
		return Reservation{}, false
	}
	reservation := Reservation{Upstream: chosen.ID, CachedTokens: chosen.matchedBlocks * BlockBytes / request.BytesPerToken}
	r.table.start(now, chosen, f)
	return reservation, true
}

// pick chooses a replica; nil means that none is usable. The table must be locked.
func (r *Router) pick(now time.Time, f *Features) *Replica {
	if !r.table.freshness.current(now) {
		return nil
	}
	r.collectCandidates(now, f)
	if len(r.selection.Candidates) == 0 {
		return nil
	}
	s := &r.selection
	s.Now = now
	s.Features = f
	s.Random = r.random
	s.table = r.table
	return r.policy.Choose(s)
}

// collectCandidates fills the selection with the eligible replicas. The upstream
// to avoid is included only if there is no other.
func (r *Router) collectCandidates(now time.Time, f *Features) {
	t := r.table
	candidates := r.selection.Candidates[:0]
	r.selection.Candidates = candidates
	p, ok := t.pools[f.Pool()]
	if !ok {
		return
	}
	r.selection.MeanPrice = p.meanPrice
	t.index.match(now, f.Blocks)
	var avoided *Replica
	for _, c := range p.replicas {
		if !r.eligible(now, c, f) {
			continue
		}
		c.matchedBlocks = 0
		if c.indexBit >= 0 {
			c.matchedBlocks = int(t.index.depth[c.indexBit])
		}
		if f.Avoid != "" && c.ID == f.Avoid {
			avoided = c
			continue
		}
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 && avoided != nil {
		candidates = append(candidates, avoided)
	}
	r.selection.Candidates = candidates
}

// eligible reports whether the request may be sent to c.
func (r *Router) eligible(now time.Time, c *Replica, f *Features) bool {
	if !c.usable(now) {
		return false
	}
	if f.Suspect && c.suspectsInFlight > 0 {
		return false
	}
	if f.Adapter != "" && !hasAdapter(c, f.Adapter) {
		return false
	}
	t := r.table
	if !t.options.Exact {
		return true
	}
	if !c.inSlowStart && !f.Pressing {
		return c.inFlight < c.maxInFlight
	}
	return float64(t.load(now, c)) < c.capacity(now)+c.overcommit(&t.options)+c.pressingAllowance(&t.options, f)
}

func hasAdapter(r *Replica, adapter ident.Adapter) bool {
	for _, a := range r.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}
