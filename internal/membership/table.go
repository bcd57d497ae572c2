package membership

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// entry is a record with this node's local data about it.
type entry struct {
	record
	// digestHash is the record's hash in the digest.
	digestHash uint64
	// digestBucket is the record's bucket of the digest.
	digestBucket int
	// suspectedAt is when this node learnt of the suspicion; zero if not suspected.
	suspectedAt time.Time
	// finalProbes is how often this node has pinged the member since suspectedAt, before
	// declaring it dead.
	finalProbes int
	// forgetAt is when an ended incarnation is removed; zero if it has not ended.
	forgetAt time.Time
}

// remaining returns how long an ended incarnation is still remembered, or 0 if it has not
// ended.
func (e *entry) remaining(now time.Time) time.Duration {
	if e.forgetAt.IsZero() {
		return 0
	}
	return e.forgetAt.Sub(now)
}

// change describes an update of an entry: its state before and the entry after it.
type change struct {
	before  State
	isNew   bool
	current *entry
}

// table holds the records of all known incarnations. It does no I/O and uses no clocks or
// goroutines.
//
// Invariants: an entry only moves upwards in the order of record.merge; of two
// incarnations of one node, the older has ended.
type table struct {
	entries map[ident.Incarnation]*entry
	// newest is the newest known incarnation of each node.
	newest map[ident.Node]ident.Incarnation
	// retention is how long ended incarnations are remembered.
	retention time.Duration
}

func newTable(retention time.Duration) *table {
	return &table{
		entries:   make(map[ident.Incarnation]*entry),
		newest:    make(map[ident.Node]ident.Incarnation),
		retention: retention,
	}
}

// merge merges update into the table and returns what changed. ttl is how long the sender
// still remembers an ended incarnation, or 0 for the full retention time.
func (t *table) merge(now time.Time, update record, ttl time.Duration) []change {
	changes := t.mergeOne(now, update, ttl, nil)
	node := update.Incarnation.Node()
	newest, known := t.newest[node]
	switch {
	case !known:
		t.newest[node] = update.Incarnation
	case update.Incarnation.NewerThan(newest):
		t.newest[node] = update.Incarnation
		changes = t.mergeOne(now, record{Incarnation: newest, Final: finalDead}, 0, changes)
	case newest.NewerThan(update.Incarnation):
		changes = t.mergeOne(now, record{Incarnation: update.Incarnation, Final: finalDead}, 0, changes)
	}
	return changes
}

// mergeOne merges one record without ending older incarnations and appends any change to
// changes.
func (t *table) mergeOne(now time.Time, update record, ttl time.Duration, changes []change) []change {
	e, known := t.entries[update.Incarnation]
	if !known {
		e = &entry{record: record{Incarnation: update.Incarnation}, digestBucket: update.bucket()}
		t.entries[update.Incarnation] = e
	}
	merged := e.merge(update)
	if known && merged == e.record {
		return changes
	}
	before := e.state()
	wasSuspected, wasFinal := e.Suspected, e.Final != finalNone
	e.record = merged
	e.digestHash = merged.hash()
	if e.Suspected != wasSuspected {
		e.suspectedAt = time.Time{}
		e.finalProbes = 0
		if e.Suspected {
			e.suspectedAt = now
		}
	}
	if e.Final != finalNone && !wasFinal {
		e.forgetAt = now.Add(t.limitTTL(ttl))
	}
	return append(changes, change{before: before, isNew: !known, current: e})
}

// limitTTL returns ttl, or the retention time if ttl is unset or longer.
func (t *table) limitTTL(ttl time.Duration) time.Duration {
	if ttl <= 0 || ttl > t.retention {
		return t.retention
	}
	return ttl
}

// removeExpired removes the ended incarnations whose retention time is over.
func (t *table) removeExpired(now time.Time) {
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

// countReachable counts the members of a region that have not ended, and those of them
// that are not suspected.
func (t *table) countReachable(region ident.Region) (reached, all int) {
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
