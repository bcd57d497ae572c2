package owner

// slotQueue holds the reservations at one upstream: those that have a slot, and
// those that wait for one.
type slotQueue struct {
	slots int
	// active is the number of reservations that have a slot.
	active int
	// waiting is in order of arrival.
	waiting []*reservation
}

func (q *slotQueue) empty() bool {
	return q.active == 0 && len(q.waiting) == 0
}

// add gives r a slot, or appends it to the waiting reservations.
func (q *slotQueue) add(r *reservation) {
	if q.active < q.slots {
		q.active++
		return
	}
	r.waiting = true
	q.waiting = append(q.waiting, r)
}

// remove removes r and gives its slot to the most urgent waiting reservation, or to
// the earliest of several that are equally urgent.
func (q *slotQueue) remove(r *reservation) {
	if r.waiting {
		q.removeWaiting(r)
		return
	}
	q.active--
	if len(q.waiting) == 0 || q.active >= q.slots {
		return
	}
	next := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if w.moreUrgentThan(next) {
			next = w
		}
	}
	q.removeWaiting(next)
	next.waiting = false
	q.active++
}

// ahead returns how many waiting reservations get a slot before r; 0 when r has a
// slot.
func (q *slotQueue) ahead(r *reservation) int {
	if !r.waiting {
		return 0
	}
	count := 0
	passed := false
	for _, w := range q.waiting {
		switch {
		case w == r:
			passed = true
		case w.moreUrgentThan(r) || (!passed && !r.moreUrgentThan(w)):
			count++
		}
	}
	return count
}

// moreUrgentThan compares the urgency of r and other.
func (r *reservation) moreUrgentThan(other *reservation) bool {
	return r.urgency > other.urgency
}

// removeWaiting removes r from the waiting reservations and keeps their order.
func (q *slotQueue) removeWaiting(r *reservation) {
	for i, w := range q.waiting {
		if w == r {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}
