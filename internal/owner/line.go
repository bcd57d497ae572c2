package owner

// line is what is reserved at one upstream: requests that have a slot, and
// requests that wait for one.
type line struct {
	slots   int
	active  int
	waiting []*reservation
}

func (l *line) empty() bool {
	return l.active == 0 && len(l.waiting) == 0
}

// join gives r a slot, or puts it into the line.
func (l *line) join(r *reservation) {
	if l.active < l.slots {
		l.active++
		return
	}
	r.waiting = true
	l.waiting = append(l.waiting, r)
}

// leave takes r away and gives its slot to the most urgent one that waits, of
// equals to the one that came first.
func (l *line) leave(r *reservation) {
	if r.waiting {
		l.remove(r)
		return
	}
	l.active--
	if len(l.waiting) == 0 || l.active >= l.slots {
		return
	}
	next := l.waiting[0]
	for _, w := range l.waiting[1:] {
		if w.urgency > next.urgency {
			next = w
		}
	}
	l.remove(next)
	next.waiting = false
	l.active++
}

// remove takes r out of those that wait, who stay in order.
func (l *line) remove(r *reservation) {
	for i, w := range l.waiting {
		if w == r {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}
