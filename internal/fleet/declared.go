package fleet

import "slices"

// SourceDrain is an operator's drain, which the configuration keeps until it is cleared.
const SourceDrain Source = "an operator's drain, in force until `clear drain`"

// Declare puts the drains of one version of the configuration in force on this
// node. They are not spread: every node hears of the configuration by itself. A
// version that is not newer than the last one changes nothing.
func (l *Leaving) Declare(version uint64, drained []Subject) {
	news, callbacks := l.declare(version, drained)
	l.changes.Add(uint64(len(news)))
	for _, m := range news {
		for _, f := range callbacks {
			f(m)
		}
	}
}

// declare replaces the drains and returns a mark for each that came or went,
// and whom to tell.
func (l *Leaving) declare(version uint64, drained []Subject) ([]Mark, []func(Mark)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.declaredVersion {
		return nil, nil
	}
	l.declaredVersion = version
	now := l.now()
	var news []Mark
	next := make(map[Subject]Mark, len(drained))
	for _, subject := range drained {
		m, known := l.declared[subject]
		if !known {
			m = Mark{Subject: subject, At: now, Source: SourceDrain}
			news = append(news, m)
		}
		next[subject] = m
	}
	for subject := range l.declared {
		if _, stays := next[subject]; !stays {
			news = append(news, Mark{Subject: subject, At: now, Source: SourceDrain, Cleared: true})
		}
	}
	l.declared = next
	return news, slices.Clone(l.onMark)
}
