package grant

import (
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// Snapshot is a table, or a part of one, on its way to the successor.
type Snapshot struct {
	// Shard is the number of the part of the table that this belongs to.
	Shard int
	// Entries are in the order of their IDs.
	Entries []Entry
	// Spent are the fingerprints of expired requests whose slot was taken.
	Spent []SpentPeriod
	// Forgotten is the last period of which the fingerprints were forgotten.
	Forgotten uint32
	// Full is true when the table takes no further non-idempotent requests.
	Full bool
}

// Close stops the table for ever in favour of successor. Closing it again for
// the same successor is harmless; another successor gets ErrOtherSuccessor.
func (t *Table) Close(successor ident.Incarnation) error {
	if t.mode == modeWaiting {
		return ErrNotAdopted
	}
	if t.mode == modeClosed && t.successor != successor {
		return ErrOtherSuccessor
	}
	t.mode = modeClosed
	t.successor = successor
	return nil
}

// Successor returns who the table was closed for, or empty.
func (t *Table) Successor() ident.Incarnation {
	return t.successor
}

// Snapshot returns everything that the successor needs; the table must have been
// closed, so that every call returns the same.
func (t *Table) Snapshot() (Snapshot, error) {
	if t.mode != modeClosed {
		return Snapshot{}, ErrNotClosed
	}
	return t.contents(), nil
}

func (t *Table) contents() Snapshot {
	out := Snapshot{Full: t.full, Spent: t.spent.list(), Forgotten: uint32(t.spent.limit)}
	for _, e := range t.entries {
		out.Entries = append(out.Entries, e.unpacked())
	}
	slices.SortFunc(out.Entries, func(a, b Entry) int {
		return strings.Compare(a.Record.Spec.ID.String(), b.Record.Spec.ID.String())
	})
	return out
}

// Adopt installs a snapshot in a successor's table, which answers from then on.
// A table that already answers, or was closed since, stays as it is.
func (t *Table) Adopt(s *Snapshot) {
	if t.mode != modeWaiting {
		return
	}
	for i := range s.Entries {
		e := s.Entries[i]
		e.pack()
		t.put(&e)
	}
	t.spent.adopt(s.Spent, s.Forgotten)
	t.full = s.Full
	t.mode = modeActive
}
