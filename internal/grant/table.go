package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// mode is what a table does with messages.
type mode uint8

const (
	// modeActive answers.
	modeActive mode = iota
	// modeWaiting has not got its snapshot yet.
	modeWaiting
	// modeClosed has stopped for ever.
	modeClosed
)

// Table is the witness's table. It is not safe for concurrent use.
type Table struct {
	mode mode
	// successor is set when the table is closed.
	successor ident.Incarnation
	entries   map[ident.RequestID]*Entry
	// spent holds the taken slots whose entries have expired.
	spent *spentSlots
	// once counts the entries of non-idempotent requests.
	once  int
	limit int
	// full is never reset: a request refused for it is never granted later.
	full bool
}

// NewTable returns an empty table that answers. It keeps at most limit
// non-idempotent requests, expired ones included, and takes no new ones after that.
func NewTable(limit int) *Table {
	return &Table{
		entries: make(map[ident.RequestID]*Entry),
		spent:   newSpentSlots(),
		limit:   limit,
	}
}

// NewSuccessorTable returns a table that answers once Adopt has given it a snapshot.
func NewSuccessorTable(limit int) *Table {
	t := NewTable(limit)
	t.mode = modeWaiting
	return t
}

// Len returns how many requests have an entry.
func (t *Table) Len() int {
	return len(t.entries)
}

// Spent returns how many expired requests the table remembers one by one as granted.
func (t *Table) Spent() int {
	return t.spent.count
}

// Full reports whether the table takes no further non-idempotent requests.
func (t *Table) Full() bool {
	return t.full
}

// check returns why the table does not answer, or nil.
func (t *Table) check() error {
	switch t.mode {
	case modeActive:
		return nil
	case modeWaiting:
		return ErrNotAdopted
	case modeClosed:
		return ErrClosed
	}
	return ErrClosed
}

// isSpent reports whether the slot of an expired entry was taken for certain.
func (t *Table) isSpent(id ident.RequestID) bool {
	return t.spent.has(id)
}

// mayBeSpent reports whether the slot of an unknown ID may have been taken: it is
// so old that this is no longer remembered.
func (t *Table) mayBeSpent(id ident.RequestID) bool {
	return t.spent.has(id) || t.spent.mayHaveForgotten(id)
}

// reserve reports whether there is room for another non-idempotent request.
func (t *Table) reserve() bool {
	if t.once+t.spent.count >= t.limit {
		t.full = true
	}
	return !t.full
}

func (t *Table) put(e *Entry) {
	t.entries[e.Record.Spec.ID] = e
	if !e.Record.Spec.Idempotent {
		t.once++
	}
}

func (t *Table) drop(e *Entry) {
	delete(t.entries, e.Record.Spec.ID)
	if !e.Record.Spec.Idempotent {
		t.once--
	}
}
