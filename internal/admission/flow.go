package admission

import (
	"container/heap"
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// agingStep is how long a request has to wait to be as urgent as a new one of the next priority.
const agingStep = 1500 * time.Millisecond

// displacingFactor is how much more worth per second of a slot a request has to
// have than one that was accepted before to displace it.
const displacingFactor = 1.5

// flow is what one workspace has waiting in one lane.
type flow struct {
	workspace ident.Workspace
	lane      *lane
	waiting   ticketQueue
	// cost is the sum of the waiting requests' cost in seconds.
	cost float64
	// finish is the virtual time at which the last request handed out ends.
	finish float64
	// askingCost is the sum of the cost of those that look for a slot, in seconds.
	askingCost float64
	share      float64
	// arrivals is the accepted work, by kind.
	arrivals []*arrivals
}

// arrived takes in an accepted request.
func (f *flow) arrived(now time.Time, r *Request) {
	a := f.arrivalsOf(r.Kind)
	a.add(now, r.Cost.Seconds(), f.lane.lead(r))
}

func (f *flow) arrivalsOf(kind ident.Kind) *arrivals {
	for _, a := range f.arrivals {
		if a.kind == kind {
			return a
		}
	}
	a := &arrivals{kind: kind}
	f.arrivals = append(f.arrivals, a)
	return a
}

// rate returns the accepted cost in seconds per second.
func (f *flow) rate(now time.Time) float64 {
	sum := 0.0
	for _, a := range f.arrivals {
		sum += a.at(now)
	}
	return sum
}

// push adds t, which was admitted at now.
func (f *flow) push(now time.Time, t *Ticket) {
	t.key = f.lane.key(now, &t.Request)
	heap.Push(&f.waiting, t)
	f.cost += t.Request.Cost.Seconds()
	if f.lane.queued == 0 {
		f.lane.backlogged = now
	}
	f.lane.queued++
	f.lane.cost += t.Request.Cost.Seconds()
}

// remove takes t out of the queue.
func (f *flow) remove(t *Ticket) {
	heap.Remove(&f.waiting, t.place)
	f.cost -= t.Request.Cost.Seconds()
	f.lane.queued--
	f.lane.cost -= t.Request.Cost.Seconds()
	if len(f.waiting) == 0 {
		f.cost = 0
	}
	if f.lane.queued == 0 {
		f.lane.cost = 0
	}
}

// worst returns the waiting ticket that is worth the least for its cost, or nil.
func (f *flow) worst() *Ticket {
	return f.worstAhead(math.MaxInt64)
}

// worstAhead returns the one of those that go before a request queued at key that
// is worth the least for its cost, or nil.
func (f *flow) worstAhead(key int64) *Ticket {
	var worst *Ticket
	for _, t := range f.waiting {
		if t.key <= key && (worst == nil || t.lessWorth(worst)) {
			worst = t
		}
	}
	return worst
}

// lessWorth reports whether t is shed before other.
func (t *Ticket) lessWorth(other *Ticket) bool {
	a, b := t.Request.density(), other.Request.density()
	if a != b {
		return a < b
	}
	if t.Request.Priority != other.Request.Priority {
		return t.Request.Priority < other.Request.Priority
	}
	return t.serial > other.serial
}

// displaces reports whether t is worth the breach of other's acceptance.
func (t *Ticket) displaces(other *Ticket) bool {
	return t.Request.density() > displacingFactor*other.Request.density()
}
