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
	// summaryAge is how old a summary may be and still be believed.
	summaryAge = 5 * time.Second
	// unknownBusy is the most that is assumed taken at an owner that was not heard of lately.
	unknownBusy = 0.5
	// busyOfFull is the part that is assumed taken at an owner that just refused.
	busyOfFull = 1.75
	// assumedSlots is how many requests are assumed to share an upstream.
	assumedSlots = 16
	// assumedPace is the assumed time between tokens, in seconds.
	assumedPace = 0.025
	// tokenShare is the assumed time that one more running request adds to each token of all, in seconds.
	tokenShare = 0.0008
	// costJitter tells owners apart that cost about the same, as a part of the cost.
	costJitter = 0.02
	// prefillTokensPerSecond is the assumed prefill rate of an upstream.
	prefillTokensPerSecond = 12000
	// elsewhereBusy is up to which part of its slots an owner takes requests whose best owner is full.
	elsewhereBusy = 1.2
	// secondMiss is the part of a prefix that is assumed missing at its second choice.
	secondMiss = 0.5
)

// Directory knows the owners of all pools and chooses which one to ask.
// It is safe for concurrent use.
type Directory struct {
	random *rand.Rand
	self   membership.Member

	mu    sync.Mutex
	pools map[PoolKey]*ownerSet
}

// NewDirectory returns an empty directory of node self.
func NewDirectory(self membership.Member, random *rand.Rand) *Directory {
	return &Directory{random: random, self: self, pools: make(map[PoolKey]*ownerSet)}
}

// Update takes in the upstreams and members; summaries of owners that stay are kept.
func (d *Directory) Update(upstreams []fleet.Upstream, members []membership.Member) {
	fresh := newPools()
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
			fresh.add(KeyOf(routing.Pool{Service: u.Service}), m, hash)
		}
		for _, model := range u.Models {
			fresh.add(KeyOf(routing.Pool{Model: model}), m, hash)
		}
	}
	divided := fresh.divide(d.self)
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, known := range divided {
		for _, e := range known.entries() {
			keepSummary(e, d.find(key, e.member.Incarnation))
		}
	}
	d.pools = divided
}

// Heard takes in a summary of owner.
func (d *Directory) Heard(now time.Time, owner ident.Incarnation, s Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.find(s.Pool, owner); e != nil {
		e.summary = s
		e.heard = now
		e.sent = 0
	}
}

// Refused notes that owner had no slot and should be left alone until then.
func (d *Directory) Refused(owner ident.Incarnation, pool routing.Pool, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.find(KeyOf(pool), owner); e != nil {
		e.full = until
	}
}

// RefusedSuspect notes that owner had no place for a suspect. It may have slots
// for others, so that only suspects should leave it alone until then.
func (d *Directory) RefusedSuspect(owner ident.Incarnation, pool routing.Pool, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.find(KeyOf(pool), owner); e != nil {
		e.fullForSuspects = until
	}
}

// Choose returns the owner to ask for a slot: one near, or one elsewhere that
// has room when no near one has. It is false when there is none, or when the
// best one is full and the others have hardly a free slot.
func (d *Directory) Choose(now time.Time, f *routing.Features) (Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.pools[KeyOf(f.Pool())]
	if !ok {
		return Choice{}, false
	}
	best, free := d.cheapest(now, f, known.near)
	if best != nil && best.refuses(now, f) {
		best = free
	}
	if best == nil {
		_, best = d.cheapest(now, f, known.elsewhere)
	}
	if best == nil {
		return Choice{}, false
	}
	best.sent++
	return Choice{Owner: best.member.Incarnation, Address: best.member.PeerAddress}, true
}

// cheapest returns the entry that costs least, and the one that costs least
// among those with room; nil for none.
func (d *Directory) cheapest(now time.Time, f *routing.Features, entries []*entry) (best, free *entry) {
	first, second := ranked(entries, f)
	assumed := assumedBusy(now, entries)
	least, leastFree := math.Inf(1), math.Inf(1)
	for _, e := range entries {
		missing := 1.0
		switch e {
		case first:
			missing = 0
		case second:
			missing = secondMiss
		}
		busy := e.busy(now, assumed)
		cost := e.cost(now, f, busy, missing) * (1 + costJitter*d.random.Float64())
		if cost < least {
			best, least = e, cost
		}
		if cost < leastFree && busy < elsewhereBusy && !e.refuses(now, f) {
			free, leastFree = e, cost
		}
	}
	return best, free
}

// ranked returns the owners of the first and the second upstream in the order
// that the prefix gives, by rendezvous hash; nil without a prefix.
func ranked(entries []*entry, f *routing.Features) (first, second *entry) {
	if len(f.Blocks) == 0 {
		return nil, nil
	}
	key := uint64(f.Blocks[0])
	var top, next uint64
	for _, e := range entries {
		highest := uint64(0)
		for _, u := range e.upstreams {
			highest = max(highest, mix(key, u))
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

// assumedBusy returns the part of the slots that is assumed taken at owners not
// heard of lately: no more than at those heard of, since an owner is heard of by
// asking it and one assumed busier would not be asked again; and no more than
// unknownBusy, so that the others are asked when those heard of are full.
func assumedBusy(now time.Time, entries []*entry) float64 {
	var slots, taken int
	for _, e := range entries {
		if e.heardLately(now) {
			slots += int(e.summary.Slots)
			taken += int(e.summary.InFlight) + e.sent
		}
	}
	if slots == 0 {
		return unknownBusy
	}
	return min(unknownBusy, float64(taken)/float64(slots))
}

func (d *Directory) find(key PoolKey, owner ident.Incarnation) *entry {
	known, ok := d.pools[key]
	if !ok {
		return nil
	}
	return known.find(owner)
}
