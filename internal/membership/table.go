package membership

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// entry is a record with this node's own clock readings.
type entry struct {
	record
	// sum is the record's part in the digest.
	sum uint64
	// place is its bucket of the digest.
	place int
	// suspectedAt is when this node learnt of the suspicion; zero when there is none.
	suspectedAt time.Time
	// lastCalls is how often this node has pinged it since suspectedAt.
	lastCalls int
	// forgetAt is when an ended incarnation is forgotten; zero while it has not ended.
	forgetAt time.Time
}

// remaining returns how long an ended incarnation is still remembered, or 0 when it has not ended.
func (e *entry) remaining(now time.Time) time.Duration {
	if e.forgetAt.IsZero() {
		return 0
	}
	return e.forgetAt.Sub(now)
}

// change tells that an incarnation's record became another.
type change struct {
	before  State
	isNew   bool
	current *entry
}

// table holds the records of all known incarnations. It is free of I/O, clocks and goroutines.
//
// Invariants: an entry only moves upwards in the order of record.join; of two
// incarnations of one node the older has ended.
type table struct {
	entries  map[ident.Incarnation]*entry
	newest   map[ident.Node]ident.Incarnation
	remember time.Duration
}

func newTable(remember time.Duration) *table {
	return &table{
		entries:  make(map[ident.Incarnation]*entry),
		newest:   make(map[ident.Node]ident.Incarnation),
		remember: remember,
	}
}

// join merges news into the table and returns what changed. life is how long the
// sender still remembers an ended incarnation, or 0 for the full time.
func (t *table) join(now time.Time, news record, life time.Duration) []change {
	changes := t.joinOne(now, news, life, nil)
	node := news.Incarnation.Node()
	newest, known := t.newest[node]
	switch {
	case !known:
		t.newest[node] = news.Incarnation
	case news.Incarnation.NewerThan(newest):
		t.newest[node] = news.Incarnation
		changes = t.joinOne(now, record{Incarnation: newest, Final: finalDead}, 0, changes)
	case newest.NewerThan(news.Incarnation):
		changes = t.joinOne(now, record{Incarnation: news.Incarnation, Final: finalDead}, 0, changes)
	}
	return changes
}

func (t *table) joinOne(now time.Time, news record, life time.Duration, changes []change) []change {
	e, known := t.entries[news.Incarnation]
	if !known {
		e = &entry{record: record{Incarnation: news.Incarnation}, place: news.bucket()}
		t.entries[news.Incarnation] = e
	}
	joined := e.join(news)
	if known && joined == e.record {
		return changes
	}
	before := e.state()
	wasSuspected, wasFinal := e.Suspected, e.Final != finalNone
	e.record = joined
	e.sum = joined.hash()
	if e.Suspected != wasSuspected {
		e.suspectedAt = time.Time{}
		e.lastCalls = 0
		if e.Suspected {
			e.suspectedAt = now
		}
	}
	if e.Final != finalNone && !wasFinal {
		e.forgetAt = now.Add(t.lifeOf(life))
	}
	return append(changes, change{before: before, isNew: !known, current: e})
}

func (t *table) lifeOf(life time.Duration) time.Duration {
	if life <= 0 || life > t.remember {
		return t.remember
	}
	return life
}

// forget drops the ended incarnations whose time is over.
func (t *table) forget(now time.Time) {
	for incarnation, e := range t.entries {
		if e.forgetAt.IsZero() || now.Before(e.forgetAt) {
			continue
		}
		delete(t.entries, incarnation)
		if t.newest[incarnation.Node()] == incarnation {
			delete(t.newest, incarnation.Node())
		}
	}
}

// reach counts the members of a region that have not ended, and those of them that are not suspected.
func (t *table) reach(region ident.Region) (reached, all int) {
	for _, e := range t.entries {
		if e.Final != finalNone || e.Details.Region != region {
			continue
		}
		all++
		if !e.Suspected {
			reached++
		}
	}
	return reached, all
}
