package admission

import (
	"container/heap"
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// agingStep is the waiting time that raises a request's urgency by one priority level.
const agingStep = 1500 * time.Millisecond

// displacementFactor is how many times more worth per second of slot time a new request
// needs in order to displace one that has already been accepted.
const displacementFactor = 1.5

// flow holds the waiting requests of one workspace in one pool's queue.
type flow struct {
	workspace ident.Workspace
	queue     *poolQueue
	waiting   ticketQueue
	// waitingCost is the total cost of the waiting requests, in seconds.
	waitingCost float64
	// virtualFinish is the virtual finish time of the last dispatched request.
	virtualFinish float64
	// searchCost is the total cost of the dispatched requests that search for a slot, in seconds.
	searchCost float64
	share      float64
	// arrivals are the arrival rates by kind.
	arrivals []*arrivals
}

// recordArrival adds an accepted request to the arrival rates.
func (f *flow) recordArrival(now time.Time, r *Request) {
	a := f.arrivalsOf(r.Kind)
	a.add(now, r.Cost.Seconds(), f.queue.boost(r))
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

// acceptedRate returns the accepted cost per second, in seconds per second.
func (f *flow) acceptedRate(now time.Time) float64 {
	sum := 0.0
	for _, a := range f.arrivals {
		sum += a.rateAt(now)
	}
	return sum
}

// push adds t, which was admitted at time now.
func (f *flow) push(now time.Time, t *Ticket) {
	t.key = f.queue.key(now, &t.Request)
	heap.Push(&f.waiting, t)
	f.waitingCost += t.Request.Cost.Seconds()
	if f.queue.queued == 0 {
		f.queue.backlogSince = now
	}
	f.queue.queued++
	f.queue.waitingCost += t.Request.Cost.Seconds()
}

// remove removes t from the queue.
func (f *flow) remove(t *Ticket) {
	heap.Remove(&f.waiting, t.heapIndex)
	f.waitingCost -= t.Request.Cost.Seconds()
	f.queue.queued--
	f.queue.waitingCost -= t.Request.Cost.Seconds()
	if len(f.waiting) == 0 {
		f.waitingCost = 0
	}
	if f.queue.queued == 0 {
		f.queue.waitingCost = 0
	}
}

// leastValuable returns the waiting ticket with the lowest worth per cost, or nil.
func (f *flow) leastValuable() *Ticket {
	return f.leastValuableAhead(math.MaxInt64)
}

// leastValuableAhead returns the ticket with the lowest worth per cost among those that
// are dispatched before a request with the given key, or nil.
func (f *flow) leastValuableAhead(key int64) *Ticket {
	var least *Ticket
	for _, t := range f.waiting {
		if t.key <= key && (least == nil || t.lessValuable(least)) {
			least = t
		}
	}
	return least
}

// lessValuable reports whether t is shed before other.
func (t *Ticket) lessValuable(other *Ticket) bool {
	a, b := t.Request.density(), other.Request.density()
	if a != b {
		return a < b
	}
	if t.Request.Priority != other.Request.Priority {
		return t.Request.Priority < other.Request.Priority
	}
	return t.serial > other.serial
}

// displaces reports whether t is worth enough to shed other, although other was accepted.
func (t *Ticket) displaces(other *Ticket) bool {
	return t.Request.density() > displacementFactor*other.Request.density()
}
