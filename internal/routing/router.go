package routing

import (
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Policy chooses among the candidates of a request. It is called with the
// table locked and must not keep candidates.
type Policy interface {
	// Choose returns one of candidates, which is never empty.
	Choose(s *Selection) *Replica
}

// Selection is one choice to be made.
type Selection struct {
	Now        time.Time
	Features   *Features
	Candidates []*Replica
	// MeanPrice is the mean price per hour in the pool.
	MeanPrice float64
	// Random is the source of random numbers.
	Random *rand.Rand

	table *Table
}

// Load returns the best known load of r.
func (s *Selection) Load(r *Replica) int {
	return s.table.load(s.Now, r)
}

// Router chooses upstreams of a table. It is safe for concurrent use; the
// table's lock also guards its scratch space and random source.
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

// Pick chooses an upstream for a request. It is false when none may be used.
func (r *Router) Pick(now time.Time, f *Features) (ident.Upstream, bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	chosen := r.pick(now, f)
	if chosen == nil {
		return "", false
	}
	return chosen.ID, true
}

// Take chooses an upstream for a request and counts the request there in one step.
func (r *Router) Take(now time.Time, f *Features) (ident.Upstream, bool) {
	taken, ok := r.TakeKnown(now, f)
	return taken.Upstream, ok
}

// Taken is an upstream that was chosen for a request, and what it has of it.
type Taken struct {
	Upstream ident.Upstream
	// CachedTokens is how many leading tokens of the prompt it is believed to have cached.
	CachedTokens int
}

// TakeKnown is Take that also tells what the upstream has cached.
func (r *Router) TakeKnown(now time.Time, f *Features) (Taken, bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	chosen := r.pick(now, f)
	if chosen == nil {
		return Taken{}, false
	}
	taken := Taken{Upstream: chosen.ID, CachedTokens: chosen.matched * BlockBytes / request.BytesPerToken}
	r.table.start(now, chosen, f)
	return taken, true
}

// pick chooses with the table locked; nil means that nothing is usable.
func (r *Router) pick(now time.Time, f *Features) *Replica {
	if !r.table.fresh.current(now) {
		return nil
	}
	r.gather(now, f)
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

// gather fills the selection with the usable replicas. The one to avoid is
// among them only when there is no other.
func (r *Router) gather(now time.Time, f *Features) {
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
		if !r.fits(now, c, f) {
			continue
		}
		c.matched = 0
		if c.number >= 0 {
			c.matched = int(t.index.depth[c.number])
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

// fits reports whether c may get the request at all.
func (r *Router) fits(now time.Time, c *Replica, f *Features) bool {
	if !c.usable(now) {
		return false
	}
	if f.Suspect && c.suspects > 0 {
		return false
	}
	if f.Adapter != "" && !hasAdapter(c, f.Adapter) {
		return false
	}
	t := r.table
	if !t.options.Exact {
		return true
	}
	if !c.fresh && !f.Pressing {
		return c.inFlight < c.limit
	}
	return float64(t.load(now, c)) < c.room(now)+c.overcommit(&t.options)+c.reserved(&t.options, f)
}

func hasAdapter(r *Replica, adapter ident.Adapter) bool {
	for _, a := range r.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}
