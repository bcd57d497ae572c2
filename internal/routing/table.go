package routing

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// Table is a node's knowledge of the upstreams. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	replicas map[ident.Upstream]*Replica
	pools    map[Pool]*pool
	index    *prefixIndex
	// freeBits are the index bits of removed replicas; usedBits counts the bits allocated so far,
	// free ones included.
	freeBits []int
	usedBits int
	// freshness tracks whether the list of upstreams is current.
	freshness freshness
	// populated is true after the first Update with at least one upstream; replicas that
	// join after that go through a slow start.
	populated bool
	// started and ended count the requests at all replicas; they never decrease.
	started uint64
	ended   uint64
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{
		options:   options,
		freshness: freshness{maxAge: options.MaxAge},
		replicas:  make(map[ident.Upstream]*Replica),
		pools:     make(map[Pool]*pool),
		index:     newPrefixIndex(),
	}
}

// Update replaces the list of upstreams and keeps the counts of those that remain.
// An upstream marked as leaving stays so until it is removed from the list.
func (t *Table) Update(now time.Time, upstreams []fleet.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.replicas {
		r.listed = false
	}
	for i := range upstreams {
		t.upsert(now, &upstreams[i])
	}
	for id, r := range t.replicas {
		if !r.listed {
			t.remove(id, r)
		}
	}
	t.populated = t.populated || len(upstreams) > 0
	t.freshness.confirm(now)
	t.rebuildPools(upstreams)
}

// Confirm records that the list was current at time now, because the platform or
// another up-to-date node responded.
func (t *Table) Confirm(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freshness.confirm(now)
}

// Current reports whether the list is recent enough to choose from. It is false
// right after a pause of this process.
func (t *Table) Current(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshness.current(now)
}

func (t *Table) upsert(now time.Time, u *fleet.Upstream) {
	r, ok := t.replicas[u.ID]
	if !ok {
		r = &Replica{indexBit: t.allocateBit(), joined: now, inSlowStart: t.populated}
		t.replicas[u.ID] = r
	}
	if ok && r.State == fleet.StateStarting && u.State == fleet.StateReady {
		r.joined = now
		r.inSlowStart = true
	}
	r.Upstream = *u
	r.listed = true
	r.ready = u.State == fleet.StateReady
	r.local = u.FailureDomain == t.options.LocalDomain
	r.slots = float64(u.Slots)
	r.updateCapacity(&t.options)
	r.price = u.PricePerHour
	r.reclaimable = u.Reclaimable
	if u.State == fleet.StateLeaving || u.State == fleet.StateGone {
		r.leaving = true
	}
}

func (t *Table) remove(id ident.Upstream, r *Replica) {
	if r.indexBit >= 0 {
		t.index.removeReplica(r.indexBit)
		t.freeBits = append(t.freeBits, r.indexBit)
	}
	delete(t.replicas, id)
}

func (t *Table) allocateBit() int {
	if n := len(t.freeBits); n > 0 {
		bit := t.freeBits[n-1]
		t.freeBits = t.freeBits[:n-1]
		return bit
	}
	if t.usedBits == maxIndexedReplicas {
		return -1
	}
	t.usedBits++
	return t.usedBits - 1
}

// rebuildPools groups the replicas by pool, in the order of upstreams.
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

// SetReachable records whether upstream id answers probes; one that does not gets no new requests.
func (t *Table) SetReachable(id ident.Upstream, up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.replicas[id]; ok {
		r.down = !up
	}
}

// MarkLeaving stops new requests to upstream id, from whichever source the caller
// learned that it is leaving.
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

// RecordLoad records a load report of upstream id. Reports that are not newer than the
// last one are dropped.
func (t *Table) RecordLoad(id ident.Upstream, load Load) {
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

// ApplyCacheEvents applies events of upstream id's prefix cache.
func (t *Table) ApplyCacheEvents(now time.Time, id ident.Upstream, events []CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.replicas[id]
	if !ok || r.indexBit < 0 {
		return
	}
	for _, e := range events {
		switch e.Op {
		case CacheAdd:
			t.index.add(now, e.Block, r.indexBit)
		case CacheRemove:
			t.index.remove(e.Block, r.indexBit)
		}
	}
}
