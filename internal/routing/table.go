package routing

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// Table is what a node knows about upstreams. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	replicas map[ident.Upstream]*Replica
	pools    map[Pool]*pool
	index    *prefixIndex
	free     []int
	numbers  int
	// fresh knows whether the list is current.
	fresh freshness
	// filled is true after the first Update that named an upstream; replicas that join later start slowly.
	filled  bool
	started uint64
	ended   uint64
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{
		options:  options,
		fresh:    freshness{maxAge: options.MaxAge},
		replicas: make(map[ident.Upstream]*Replica),
		pools:    make(map[Pool]*pool),
		index:    newPrefixIndex(),
	}
}

// Update replaces the list of upstreams. Counts of those that stay are kept.
// Leaving is never taken back, except by an upstream that was gone in between.
func (t *Table) Update(now time.Time, upstreams []fleet.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.replicas {
		r.seen = false
	}
	for i := range upstreams {
		t.put(now, &upstreams[i])
	}
	for id, r := range t.replicas {
		if !r.seen {
			t.drop(id, r)
		}
	}
	t.filled = t.filled || len(upstreams) > 0
	t.fresh.confirm(now)
	t.rebuildPools(upstreams)
}

// Confirm notes that the list was current at now, because the platform or
// another node that is up to date was heard.
func (t *Table) Confirm(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fresh.confirm(now)
}

// Current reports whether the list is young enough to choose from. It is not
// right after a pause of this process.
func (t *Table) Current(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh.current(now)
}

func (t *Table) put(now time.Time, u *fleet.Upstream) {
	r, ok := t.replicas[u.ID]
	if !ok {
		r = &Replica{number: t.takeNumber(), joined: now, fresh: t.filled}
		t.replicas[u.ID] = r
	}
	if ok && r.State == fleet.StateStarting && u.State == fleet.StateReady {
		r.joined = now
		r.fresh = true
	}
	r.Upstream = *u
	r.seen = true
	r.ready = u.State == fleet.StateReady
	r.local = u.FailureDomain == t.options.Local
	r.slots = float64(u.Slots)
	r.tune(&t.options)
	r.price = u.PricePerHour
	r.reclaimable = u.Reclaimable
	if u.State == fleet.StateLeaving || u.State == fleet.StateGone {
		r.leaving = true
	}
}

func (t *Table) drop(id ident.Upstream, r *Replica) {
	if r.number >= 0 {
		t.index.forget(r.number)
		t.free = append(t.free, r.number)
	}
	delete(t.replicas, id)
}

func (t *Table) takeNumber() int {
	if n := len(t.free); n > 0 {
		number := t.free[n-1]
		t.free = t.free[:n-1]
		return number
	}
	if t.numbers == indexedReplicas {
		return -1
	}
	t.numbers++
	return t.numbers - 1
}

// rebuildPools lists the replicas by pool, in the order of upstreams.
func (t *Table) rebuildPools(upstreams []fleet.Upstream) {
	clear(t.pools)
	for i := range upstreams {
		r := t.replicas[upstreams[i].ID]
		if r.Service != "" {
			t.pool(Pool{Service: r.Service}).add(r)
		}
		for _, model := range r.Models {
			t.pool(Pool{Model: model}).add(r)
		}
	}
}

func (t *Table) pool(name Pool) *pool {
	p, ok := t.pools[name]
	if !ok {
		p = new(pool)
		t.pools[name] = p
	}
	return p
}

// SetUp tells whether upstream id answers; one that does not gets no new work.
func (t *Table) SetUp(id ident.Upstream, up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.replicas[id]; ok {
		r.down = !up
	}
}

// MarkLeaving keeps new work off upstream id, however its leaving was learnt.
func (t *Table) MarkLeaving(id ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.replicas[id]; ok {
		r.leaving = true
	}
}

// Leaving reports whether upstream id is leaving or unknown.
func (t *Table) Leaving(id ident.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.replicas[id]
	return !ok || r.leaving
}

// Report takes in a load report of upstream id; one that is older than the last is dropped.
func (t *Table) Report(id ident.Upstream, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.replicas[id]
	if !ok || !load.MeasuredAt.After(r.report.MeasuredAt) {
		return
	}
	r.report = load
	r.startedSince = 0
	r.endedSince = 0
}

// CacheEvents takes in events of upstream id's prefix cache.
func (t *Table) CacheEvents(now time.Time, id ident.Upstream, events []CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.replicas[id]
	if !ok || r.number < 0 {
		return
	}
	for _, e := range events {
		switch e.Op {
		case CacheAdd:
			t.index.add(now, e.Block, r.number)
		case CacheRemove:
			t.index.remove(e.Block, r.number)
		}
	}
}
