package admission

import (
	"slices"
	"time"
)

// slotSearchGrace is the longest time a request takes to get a slot while slots are free.
const slotSearchGrace = 100 * time.Millisecond

// startSlotSearch records that t has been dispatched and searches for a slot from now on.
func (f *flow) startSlotSearch(now time.Time, t *Ticket) {
	t.state = stateSearching
	t.searchingSince = now
	f.searchCost += t.Request.Cost.Seconds()
	f.queue.searching = append(f.queue.searching, t)
}

// endSlotSearch records that t no longer searches for a slot.
func (f *flow) endSlotSearch(t *Ticket) {
	q := f.queue
	i := slices.Index(q.searching, t)
	q.searching = slices.Delete(q.searching, i, i+1)
	f.searchCost -= t.Request.Cost.Seconds()
	if len(q.searching) == 0 {
		f.searchCost = 0
	}
}

// slotsShort reports whether there are too few slots: the oldest search has lasted
// longer than slotSearchGrace.
func (q *poolQueue) slotsShort(now time.Time) bool {
	return len(q.searching) > 0 && now.Sub(q.searching[0].searchingSince) > slotSearchGrace
}

// slotWait returns how long a request with the given latest start will search for a
// slot once it is dispatched, in seconds. Requests that are searching now and have to
// start no later than it are served first.
func (q *poolQueue) slotWait(now, latestStart time.Time) float64 {
	if !q.slotsShort(now) {
		return 0
	}
	cost := 0.0
	for _, t := range q.searching {
		if !t.latestStart.After(latestStart) {
			cost += t.Request.Cost.Seconds()
		}
	}
	return cost / q.throughput(now)
}
