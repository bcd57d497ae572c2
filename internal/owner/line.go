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
		if w.before(next) {
			next = w
		}
	}
	l.remove(next)
	next.waiting = false
	l.active++
}

// ahead returns how many of those that wait get a slot before r, which waits or
// has its slot; 0 for one that has.
func (l *line) ahead(r *reservation) int {
	if !r.waiting {
		return 0
	}
	out := 0
	joined := false
	for _, w := range l.waiting {
		switch {
		case w == r:
			joined = true
		case w.before(r) || (!joined && !r.before(w)):
			out++
		}
	}
	return out
}

// before reports whether r is more urgent than other.
func (r *reservation) before(other *reservation) bool {
	return r.urgency > other.urgency
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
