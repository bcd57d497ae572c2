package owner

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// maxSummaryAge is the age up to which a summary is used.
	maxSummaryAge = 5 * time.Second
	// maxAssumedUtilization bounds the utilization that is assumed for an owner
	// without a recent summary.
	maxAssumedUtilization = 0.5
	// refusedUtilization is the least utilization that is assumed for an owner that
	// has just refused a request.
	refusedUtilization = 1.75
	// assumedSlots is the assumed number of slots of an upstream.
	assumedSlots = 16
	// assumedTokenSeconds is the assumed time between tokens, in seconds.
	assumedTokenSeconds = 0.025
	// tokenSecondsPerRequest is the assumed time that each running request adds
	// to every token at its upstream, in seconds.
	tokenSecondsPerRequest = 0.0008
	// costJitter is the largest random increase of a cost, as a fraction of it, so
	// that requests spread over owners of about the same cost.
	costJitter = 0.02
	// prefillTokensPerSecond is the assumed prefill rate of an upstream.
	prefillTokensPerSecond = 12000
	// maxFallbackUtilization is the utilization below which an owner is asked for
	// requests whose best owner is full.
	maxFallbackUtilization = 1.2
	// secondRankMissing is the fraction of a prefix that is assumed not to be
	// cached at the owner that ranks second for it.
	secondRankMissing = 0.5
)

// Directory knows the owners of all pools and chooses the one to request a slot from.
// It is safe for concurrent use.
type Directory struct {
	random *rand.Rand
	self   membership.Member

	mu    sync.Mutex
	pools map[PoolKey]*ownerSet
}

// NewDirectory returns an empty directory for node self.
func NewDirectory(self membership.Member, random *rand.Rand) *Directory {
	return &Directory{random: random, self: self, pools: make(map[PoolKey]*ownerSet)}
}

// Update rebuilds the directory from the upstreams and members. Owners that
// remain keep their summaries.
func (d *Directory) Update(upstreams []fleet.Upstream, members []membership.Member) {
	builder := newDirectoryBuilder()
	owners := NewOwners(members)
	for i := range upstreams {
		u := &upstreams[i]
		if u.State != fleet.StateReady {
			continue
		}
		m, ok := owners.Of(u)
		if !ok {
			continue
		}
		hash := xxhash.Sum64String(string(u.ID))
		if u.Service != "" {
			builder.add(PoolKeyOf(routing.Pool{Service: u.Service}), m, hash)
		}
		for _, model := range u.Models {
			builder.add(PoolKeyOf(routing.Pool{Model: model}), m, hash)
		}
	}
	updated := builder.build(d.self)
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, set := range updated {
		for _, e := range set.entries() {
			keepSummary(e, d.find(key, e.member.Incarnation))
		}
	}
	d.pools = updated
}

// RecordSummary stores a summary received from owner.
func (d *Directory) RecordSummary(now time.Time, owner ident.Incarnation, s Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.find(s.Pool, owner); e != nil {
		e.summary = s
		e.summaryAt = now
		e.requestedSince = 0
	}
}

// MarkFull records that owner had no slot; Choose avoids it until the given time.
func (d *Directory) MarkFull(owner ident.Incarnation, pool routing.Pool, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.find(PoolKeyOf(pool), owner); e != nil {
		e.fullUntil = until
	}
}

// MarkFullForSuspects records that owner had no slot for a suspect request. It
// may have slots for others, so Choose avoids it for suspect requests only, until
// the given time.
func (d *Directory) MarkFullForSuspects(owner ident.Incarnation, pool routing.Pool, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.find(PoolKeyOf(pool), owner); e != nil {
		e.fullForSuspectsUntil = until
	}
}

// Choose returns the owner to request a slot from: one of the primary region, or
// one of another region when the best of the primary region has just refused and no
// other there has room. It returns false when the pool has no owner, or when the
// best one has just refused and no other has room.
func (d *Directory) Choose(now time.Time, f *routing.Features) (Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owners, ok := d.pools[PoolKeyOf(f.Pool())]
	if !ok {
		return Choice{}, false
	}
	best, available := d.cheapest(now, f, owners.primary)
	if best != nil && best.recentlyRefused(now, f) {
		best = available
	}
	if best == nil {
		_, best = d.cheapest(now, f, owners.fallback)
	}
	if best == nil {
		return Choice{}, false
	}
	best.requestedSince++
	return Choice{Owner: best.member.Incarnation, Address: best.member.PeerAddress}, true
}

// cheapest returns the entry with the lowest cost, and the one with the lowest
// cost among those with room: a utilization below maxFallbackUtilization and no
// recent refusal. Either is nil if there is none.
func (d *Directory) cheapest(now time.Time, f *routing.Features, entries []*entry) (best, available *entry) {
	first, second := rankByPrefix(entries, f)
	assumed := assumedUtilization(now, entries)
	least, leastAvailable := math.Inf(1), math.Inf(1)
	for _, e := range entries {
		missing := 1.0
		switch e {
		case first:
			missing = 0
		case second:
			missing = secondRankMissing
		}
		utilization := e.utilization(now, assumed)
		cost := e.cost(now, f, utilization, missing) * (1 + costJitter*d.random.Float64())
		if cost < least {
			best, least = e, cost
		}
		if cost < leastAvailable && utilization < maxFallbackUtilization && !e.recentlyRefused(now, f) {
			available, leastAvailable = e, cost
		}
	}
	return best, available
}

// rankByPrefix returns the two owners that rank highest for the request's prefix
// by rendezvous hash over their upstreams; nil without a prefix.
func rankByPrefix(entries []*entry, f *routing.Features) (first, second *entry) {
	if len(f.Blocks) == 0 {
		return nil, nil
	}
	key := uint64(f.Blocks[0])
	var top, next uint64
	for _, e := range entries {
		highest := uint64(0)
		for _, u := range e.upstreams {
			highest = max(highest, mixHashes(key, u))
		}
		switch {
		case highest > top:
			second, next = first, top
			first, top = e, highest
		case highest > next:
			second, next = e, highest
		}
	}
	return first, second
}

// assumedUtilization returns the utilization that is assumed for owners without a
// recent summary. It is at most the average of the owners with one: summaries come
// with replies, so an owner that is assumed to be busier would not be asked again.
// It is at most maxAssumedUtilization, so that owners without a recent summary are
// asked when those with one are full.
func assumedUtilization(now time.Time, entries []*entry) float64 {
	var slots, taken int
	for _, e := range entries {
		if e.hasRecentSummary(now) {
			slots += int(e.summary.Slots)
			taken += int(e.summary.InFlight) + e.requestedSince
		}
	}
	if slots == 0 {
		return maxAssumedUtilization
	}
	return min(maxAssumedUtilization, float64(taken)/float64(slots))
}

// find returns the entry of an owner of a pool, or nil; d.mu is held.
func (d *Directory) find(key PoolKey, owner ident.Incarnation) *entry {
	owners, ok := d.pools[key]
	if !ok {
		return nil
	}
	return owners.find(owner)
}
