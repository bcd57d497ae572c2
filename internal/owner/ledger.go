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

// DefaultHold is how long a reservation lasts without a renewal when its holder names no time.
const DefaultHold = time.Minute

// MaxListAge is how old a node's list of upstreams may be and still be chosen
// from. A process that was paused for longer first has to hear from others.
const MaxListAge = 2 * time.Second

// Ledger is an owner's exact count of what is in flight at its upstreams.
// It is safe for concurrent use.
type Ledger struct {
	self   ident.Node
	table  *routing.Table
	router *routing.Router

	mu     sync.Mutex
	held   map[ReservationID]*reservation
	expiry expiryQueue
	// lines are the requests at each upstream.
	lines map[ident.Upstream]*line
	urls  map[ident.Upstream]string
}

// NewLedger returns the ledger of node self, which chooses by policy among the
// upstreams it owns and lets overcommit requests more than its slots wait at each.
func NewLedger(self ident.Node, local ident.FailureDomain, policy routing.Policy, overcommit int, random *rand.Rand) *Ledger {
	table := routing.NewTable(routing.Options{
		Exact: true, Overcommit: overcommit, LocalDomain: local, MaxAge: MaxListAge,
	})
	return &Ledger{
		self:   self,
		table:  table,
		router: routing.NewRouter(table, policy, random),
		held:   make(map[ReservationID]*reservation),
		lines:  make(map[ident.Upstream]*line),
		urls:   make(map[ident.Upstream]string),
	}
}

// Table returns the table of owned upstreams, for reports and cache events.
func (l *Ledger) Table() *routing.Table {
	return l.table
}

// Update takes over the upstreams that self owns among members and drops the others.
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
		l.line(owned[i].ID).slots = owned[i].Slots
	}
	for id, at := range l.lines {
		if _, kept := l.urls[id]; !kept && at.empty() {
			delete(l.lines, id)
		}
	}
	l.table.Update(now, owned)
}

// Reserve takes a slot for a request. Asked again with the same ID it gives the
// same answer while the reservation lasts, and renews it.
func (l *Ledger) Reserve(now time.Time, args *ReserveArgs) ReserveReply {
	features := args.Features()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if have, ok := l.held[args.ID]; ok {
		if !have.waiting || !l.table.Leaving(have.upstream) {
			l.renew(now, have)
			return l.reply(now, have, &features)
		}
		l.end(now, have, routing.Outcome{Kind: routing.OutcomeUnsent})
	}
	taken, ok := l.router.ReserveWithCacheInfo(now, &features)
	if !ok {
		return ReserveReply{Summary: l.summary(now, features.Pool())}
	}
	hold := args.Hold
	if hold <= 0 {
		hold = DefaultHold
	}
	r := &reservation{
		id: args.ID, upstream: taken.Upstream, cached: taken.CachedTokens,
		suspect: args.Suspect, urgency: args.Urgency, hold: hold, until: now.Add(hold),
	}
	l.held[args.ID] = r
	l.line(taken.Upstream).join(r)
	heap.Push(&l.expiry, r)
	return l.reply(now, r, &features)
}

// line returns the line of an upstream.
func (l *Ledger) line(id ident.Upstream) *line {
	at, ok := l.lines[id]
	if !ok {
		at = new(line)
		l.lines[id] = at
	}
	return at
}

func (l *Ledger) reply(now time.Time, r *reservation, f *routing.Features) ReserveReply {
	return ReserveReply{
		Granted:      true,
		Wait:         r.waiting,
		Ahead:        l.line(r.upstream).ahead(r),
		Upstream:     r.upstream,
		CachedTokens: r.cached,
		Summary:      l.summary(now, f.Pool()),
	}
}

// Release ends a reservation; it is false when there is none any more.
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

// DropHolder ends all reservations of a holder that is dead.
func (l *Ledger) DropHolder(now time.Time, holder ident.Incarnation) int {
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

// Summaries returns one summary for each pool owned.
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

// Held returns how many reservations last.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

func (l *Ledger) summary(now time.Time, pool routing.Pool) Summary {
	count := l.table.PoolUsage(now, pool)
	return Summary{
		Pool:     KeyOf(pool),
		Slots:    uint16(min(count.Slots, math.MaxUint16)),
		InFlight: uint16(min(count.InFlight, math.MaxUint16)),
	}
}

// expire ends the reservations whose time is over.
func (l *Ledger) expire(now time.Time) {
	for len(l.expiry) > 0 && !l.expiry[0].until.After(now) {
		l.end(now, l.expiry[0], routing.Outcome{Kind: routing.OutcomeCancelled})
	}
}

func (l *Ledger) end(now time.Time, r *reservation, out routing.Outcome) {
	heap.Remove(&l.expiry, r.place)
	delete(l.held, r.id)
	l.line(r.upstream).leave(r)
	l.table.RecordEnd(now, r.upstream, r.suspect, out)
}
