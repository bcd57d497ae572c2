package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// mode tells whether a table answers messages.
type mode uint8

const (
	// modeActive is the mode of a table that answers.
	modeActive mode = iota
	// modeAwaitingSnapshot is the mode of a successor's table before its snapshot is installed.
	modeAwaitingSnapshot
	// modeClosed is the mode of a table that was closed for a hand-over. It is final.
	modeClosed
)

// Table decides who may run the requests of one witness. It is not safe for
// concurrent use.
type Table struct {
	mode mode
	// successor is set when the table is closed.
	successor ident.Incarnation
	entries   map[ident.RequestID]*Entry
	// spent holds the requests whose slot was taken and that no longer have an entry.
	spent *spentSlots
	// nonIdempotent is the number of entries of non-idempotent requests.
	nonIdempotent int
	// limit bounds nonIdempotent plus the number of fingerprints in spent.
	limit int
	// inputs bounds the inputs of requests in progress; nil for no bound.
	inputs *Inputs
	// full is never reset, so that a request refused because of it is never granted later.
	full bool
}

// NewTable returns an empty active table. Once it stores limit non-idempotent
// requests, including the fingerprints of spent ones, it accepts no new ones.
func NewTable(limit int) *Table {
	return &Table{
		entries: make(map[ident.RequestID]*Entry),
		spent:   newSpentSlots(),
		limit:   limit,
	}
}

// LimitInputs makes the table count the inputs of its requests in progress. It is called before the table is used.
func (t *Table) LimitInputs(inputs *Inputs) { t.inputs = inputs }

// NewSuccessorTable returns a table that answers once Install has given it a snapshot.
func NewSuccessorTable(limit int) *Table {
	t := NewTable(limit)
	t.mode = modeAwaitingSnapshot
	return t
}

// Len returns the number of requests that have an entry.
func (t *Table) Len() int {
	return len(t.entries)
}

// Spent returns the number of spent requests whose fingerprint is stored.
func (t *Table) Spent() int {
	return t.spent.count
}

// Full reports whether the table accepts no further non-idempotent requests.
func (t *Table) Full() bool {
	return t.full
}

// checkActive returns an error unless the table is active.
func (t *Table) checkActive() error {
	switch t.mode {
	case modeActive:
		return nil
	case modeAwaitingSnapshot:
		return ErrNotInstalled
	case modeClosed:
		return ErrClosed
	}
	return ErrClosed
}

// isSpent reports whether id is known to be spent.
func (t *Table) isSpent(id ident.RequestID) bool {
	return t.spent.contains(id)
}

// mayBeSpent reports whether id is known to be spent, or is so old that its
// fingerprint would have been dropped.
func (t *Table) mayBeSpent(id ident.RequestID) bool {
	return t.spent.contains(id) || t.spent.mayHaveForgotten(id)
}

// admitNonIdempotent reports whether the table accepts another non-idempotent
// request. At the limit it marks the table as full.
func (t *Table) admitNonIdempotent() bool {
	if t.nonIdempotent+t.spent.count >= t.limit {
		t.full = true
	}
	return !t.full
}

// put adds an entry.
func (t *Table) put(e *Entry) {
	t.entries[e.Record.Spec.ID] = e
	if !e.isPacked && e.inputs == nil {
		e.inputs = t.inputs
		e.inputs.add(len(e.Record.Spec.Input))
	}
	if !e.Record.Spec.Idempotent {
		t.nonIdempotent++
	}
}

// remove deletes an entry.
func (t *Table) remove(e *Entry) {
	delete(t.entries, e.Record.Spec.ID)
	e.dropInput()
	if !e.Record.Spec.Idempotent {
		t.nonIdempotent--
	}
}
