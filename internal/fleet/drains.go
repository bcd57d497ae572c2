package fleet

import "slices"

// SourceDrain is an operator's drain, which stays in the configuration until it is cleared.
const SourceDrain Source = "an operator's drain, in force until `clear drain`"

// SetDrains applies the drains of one configuration version on this node. Drains are
// not broadcast, because every node receives the configuration itself. A version
// that is not newer than the last applied one is ignored.
func (l *LeavingMarks) SetDrains(version uint64, drained []Subject) {
	changed, callbacks := l.replaceDrains(version, drained)
	l.changes.Add(uint64(len(changed)))
	for _, m := range changed {
		for _, f := range callbacks {
			f(m)
		}
	}
}

// replaceDrains replaces the drains. It returns a mark for each drain that was added or
// removed, and the callbacks to notify.
func (l *LeavingMarks) replaceDrains(version uint64, drained []Subject) ([]Mark, []func(Mark)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.drainsVersion {
		return nil, nil
	}
	l.drainsVersion = version
	now := l.now()
	var changed []Mark
	next := make(map[Subject]Mark, len(drained))
	for _, subject := range drained {
		m, known := l.drains[subject]
		if !known {
			m = Mark{Subject: subject, At: now, Source: SourceDrain}
			changed = append(changed, m)
		}
		next[subject] = m
	}
	for subject := range l.drains {
		if _, stays := next[subject]; !stays {
			changed = append(changed, Mark{Subject: subject, At: now, Source: SourceDrain, Cleared: true})
		}
	}
	l.drains = next
	return changed, slices.Clone(l.onMark)
}
