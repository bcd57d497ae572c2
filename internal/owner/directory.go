package owner

import (
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
	// affinityBlocks is how many leading blocks name the owner that a prefix prefers.
	affinityBlocks = 1
	// affinityBusy is up to which part of its slots an owner is preferred for a prefix.
	affinityBusy = 0.85
	// unknownBusy is the part that is assumed taken at an owner that was not heard of lately.
	unknownBusy = 0.5
)

// Directory knows the owners of all pools and chooses which one to ask.
// It is safe for concurrent use.
type Directory struct {
	random *rand.Rand
	local  ident.FailureDomain

	mu      sync.Mutex
	pools   map[PoolKey][]*entry
	scratch []*entry
}

// entry is what is known of one owner of one pool.
type entry struct {
	member  membership.Member
	hash    uint64
	summary Summary
	heard   time.Time
	// sent counts reservations asked for since the summary.
	sent int
	// full is until when the owner is taken for full after it refused.
	full time.Time
}

// Choice is the owner to ask.
type Choice struct {
	Owner ident.Incarnation
	// Address is the owner's peer address.
	Address string
}

// NewDirectory returns an empty directory of a node in failure domain local.
func NewDirectory(local ident.FailureDomain, random *rand.Rand) *Directory {
	return &Directory{random: random, local: local, pools: make(map[PoolKey][]*entry)}
}

// Update takes in the upstreams and members; summaries of owners that stay are kept.
func (d *Directory) Update(upstreams []fleet.Upstream, members []membership.Member) {
	fresh := make(map[PoolKey][]*entry)
	for i := range upstreams {
		u := &upstreams[i]
		if u.State != fleet.StateReady {
			continue
		}
		m, ok := Of(u, members)
		if !ok {
			continue
		}
		if u.Service != "" {
			addOwner(fresh, KeyOf(routing.Pool{Service: u.Service}), m)
		}
		for _, model := range u.Models {
			addOwner(fresh, KeyOf(routing.Pool{Model: model}), m)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, entries := range fresh {
		for _, e := range entries {
			keepSummary(e, d.find(key, e.member.Incarnation))
		}
	}
	d.pools = fresh
}

func addOwner(pools map[PoolKey][]*entry, key PoolKey, m membership.Member) {
	for _, e := range pools[key] {
		if e.member.Incarnation == m.Incarnation {
			return
		}
	}
	e := &entry{member: m, hash: xxhash.Sum64String(string(m.Node))}
	pools[key] = append(pools[key], e)
}

func keepSummary(e, before *entry) {
	if before == nil {
		return
	}
	e.summary = before.summary
	e.heard = before.heard
	e.sent = before.sent
	e.full = before.full
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

// Choose returns the owner to ask for a slot. It is false when every owner is
// taken for full or there is none.
func (d *Directory) Choose(now time.Time, f *routing.Features) (Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := d.pools[KeyOf(f.Pool())]
	d.scratch = d.scratch[:0]
	for _, e := range entries {
		if now.Before(e.full) {
			continue
		}
		d.scratch = append(d.scratch, e)
	}
	if len(d.scratch) == 0 {
		return Choice{}, false
	}
	e := d.preferred(now, f)
	if e == nil {
		e = d.emptier(now)
	}
	e.sent++
	return Choice{Owner: e.member.Incarnation, Address: e.member.PeerAddress}, true
}

// preferred returns the first owner with room in the order that the prefix
// gives, or nil when there is no prefix or no room.
func (d *Directory) preferred(now time.Time, f *routing.Features) *entry {
	if len(f.Blocks) < affinityBlocks {
		return nil
	}
	key := uint64(f.Blocks[affinityBlocks-1])
	var best *entry
	var top uint64
	for _, e := range d.scratch {
		if e.busy(now) >= affinityBusy {
			continue
		}
		hash := mix(key, e.hash)
		if best == nil || hash > top {
			best, top = e, hash
		}
	}
	return best
}

// emptier returns the less busy of two random owners.
func (d *Directory) emptier(now time.Time) *entry {
	a := d.scratch[d.random.IntN(len(d.scratch))]
	b := d.scratch[d.random.IntN(len(d.scratch))]
	if b.busy(now) < a.busy(now) {
		return b
	}
	return a
}

// busy returns the part of the owner's slots that is taken, as far as known.
func (e *entry) busy(now time.Time) float64 {
	if now.Sub(e.heard) > summaryAge {
		return unknownBusy
	}
	if e.summary.Slots == 0 {
		return 1
	}
	return float64(int(e.summary.InFlight)+e.sent) / float64(e.summary.Slots)
}

func (d *Directory) find(key PoolKey, owner ident.Incarnation) *entry {
	for _, e := range d.pools[key] {
		if e.member.Incarnation == owner {
			return e
		}
	}
	return nil
}
