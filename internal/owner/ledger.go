package owner

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/routing"
)

// DefaultReservationTTL is how long a reservation lasts without renewal when the
// request sets no Hold.
const DefaultReservationTTL = time.Minute

// MaxUpstreamListAge is the age up to which a node chooses from its list of
// upstreams. A process that was paused for longer first has to receive updates from
// other nodes.
const MaxUpstreamListAge = 2 * time.Second

// Ledger keeps an owner's exact count of the requests in flight at its upstreams.
// It is safe for concurrent use.
type Ledger struct {
	self   ident.Node
	table  *routing.Table
	router *routing.Router

	mu sync.Mutex
	// held are the reservations that have not ended.
	held   map[ReservationID]*reservation
	expiry expiryQueue
	// queues hold the requests at each upstream.
	queues map[ident.Upstream]*slotQueue
	// urls are the base URLs of the owned upstreams.
	urls map[ident.Upstream]string
}

// NewLedger returns the ledger of node self. It chooses by policy among the
// upstreams that self owns and lets up to overcommit requests wait at each one
// when all its slots are taken.
func NewLedger(self ident.Node, local ident.FailureDomain, policy routing.Policy, overcommit int, random *rand.Rand) *Ledger {
	table := routing.NewTable(routing.Options{
		Exact: true, Overcommit: overcommit, LocalDomain: local, MaxAge: MaxUpstreamListAge,
	})
	return &Ledger{
		self:   self,
		table:  table,
		router: routing.NewRouter(table, policy, random),
		held:   make(map[ReservationID]*reservation),
		queues: make(map[ident.Upstream]*slotQueue),
		urls:   make(map[ident.Upstream]string),
	}
}

// Table returns the table of owned upstreams, which load reports and cache events
// are applied to.
func (l *Ledger) Table() *routing.Table {
	return l.table
}

// Update sets the owned upstreams to those of upstreams that self owns among
// members. Reservations at upstreams that are no longer owned remain until they end.
func (l *Ledger) Update(now time.Time, upstreams []fleet.Upstream, members []membership.Member) {
	var owned []fleet.Upstream
	owners := NewOwners(members)
	for i := range upstreams {
		m, ok := owners.Of(&upstreams[i])
		if ok && m.Node == l.self {
			owned = append(owned, upstreams[i])
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.urls)
	for i := range owned {
		l.urls[owned[i].ID] = owned[i].URL
		l.queue(owned[i].ID).slots = owned[i].Slots
	}
	for id, queue := range l.queues {
		if _, kept := l.urls[id]; !kept && queue.empty() {
			delete(l.queues, id)
		}
	}
	l.table.Update(now, owned)
}

// Reserve reserves a slot for a request. A repeated call with the same ID renews
// the reservation and returns it again while it lasts, unless the request was
// waiting and its upstream is leaving; then it is placed anew.
func (l *Ledger) Reserve(now time.Time, args *ReserveArgs) ReserveReply {
	features := args.Features()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if existing, ok := l.held[args.ID]; ok {
		if !existing.waiting || !l.table.Leaving(existing.upstream) {
			l.renew(now, existing)
			return l.reply(now, existing, &features)
		}
		l.end(now, existing, routing.Outcome{Kind: routing.OutcomeUnsent})
	}
	placed, ok := l.router.ReserveWithCacheInfo(now, &features)
	if !ok {
		return ReserveReply{Summary: l.summary(now, features.Pool())}
	}
	ttl := args.Hold
	if ttl <= 0 {
		ttl = DefaultReservationTTL
	}
	r := &reservation{
		id: args.ID, upstream: placed.Upstream, cachedTokens: placed.CachedTokens,
		suspect: args.Suspect, urgency: args.Urgency, ttl: ttl, expiresAt: now.Add(ttl),
	}
	l.held[args.ID] = r
	l.queue(placed.Upstream).add(r)
	heap.Push(&l.expiry, r)
	return l.reply(now, r, &features)
}

// queue returns the queue of an upstream and creates it if there is none; l.mu is held.
func (l *Ledger) queue(id ident.Upstream) *slotQueue {
	queue, ok := l.queues[id]
	if !ok {
		queue = new(slotQueue)
		l.queues[id] = queue
	}
	return queue
}

// reply returns the answer for reservation r; l.mu is held.
func (l *Ledger) reply(now time.Time, r *reservation, f *routing.Features) ReserveReply {
	return ReserveReply{
		Granted:      true,
		Wait:         r.waiting,
		Ahead:        l.queue(r.upstream).ahead(r),
		Upstream:     r.upstream,
		CachedTokens: r.cachedTokens,
		Summary:      l.summary(now, f.Pool()),
	}
}

// Release ends a reservation and reports whether it still existed.
func (l *Ledger) Release(now time.Time, id ReservationID, out routing.Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.held[id]
	if !ok {
		return false
	}
	l.end(now, r, out)
	return true
}

// ReleaseHolder ends all reservations of a dead holder and returns their number.
func (l *Ledger) ReleaseHolder(now time.Time, holder ident.Incarnation) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := 0
	key := holder.Hash()
	for id, r := range l.held {
		if id.Holder == key {
			l.end(now, r, routing.Outcome{Kind: routing.OutcomeCancelled})
			dropped++
		}
	}
	return dropped
}

// Summaries returns a summary for each pool in which this node owns upstreams.
func (l *Ledger) Summaries(now time.Time) []Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	pools := l.table.Pools(nil)
	out := make([]Summary, 0, len(pools))
	for _, pool := range pools {
		out = append(out, l.summary(now, pool))
	}
	return out
}

// ReservationCount returns the number of reservations that have not ended.
func (l *Ledger) ReservationCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// summary returns the load of the owned upstreams of a pool; l.mu is held.
func (l *Ledger) summary(now time.Time, pool routing.Pool) Summary {
	usage := l.table.PoolUsage(now, pool)
	return Summary{
		Pool:     PoolKeyOf(pool),
		Slots:    uint16(min(usage.Slots, math.MaxUint16)),
		InFlight: uint16(min(usage.InFlight, math.MaxUint16)),
	}
}

// expire ends the reservations that were not renewed in time; l.mu is held.
func (l *Ledger) expire(now time.Time) {
	for len(l.expiry) > 0 && !l.expiry[0].expiresAt.After(now) {
		l.end(now, l.expiry[0], routing.Outcome{Kind: routing.OutcomeCancelled})
	}
}

// end removes r and records its outcome; l.mu is held.
func (l *Ledger) end(now time.Time, r *reservation, out routing.Outcome) {
	heap.Remove(&l.expiry, r.heapIndex)
	delete(l.held, r.id)
	l.queue(r.upstream).remove(r)
	l.table.RecordEnd(now, r.upstream, r.suspect, out)
}
