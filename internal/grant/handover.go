package grant

import (
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// Snapshot is the content of a table, or a part of it, as sent to the successor.
type Snapshot struct {
	// Shard is the number of the shard that the content belongs to.
	Shard int
	// Entries are sorted by request ID.
	Entries []Entry
	// Spent are the fingerprints of expired requests whose slot was taken.
	Spent []SpentPeriod
	// Forgotten is the last period whose fingerprints have been dropped.
	Forgotten uint32
	// Full is true when the table accepts no further non-idempotent requests.
	Full bool
}

// Close permanently stops the table in favour of successor. Close is idempotent
// for the same successor; for another one it returns ErrOtherSuccessor.
func (t *Table) Close(successor ident.Incarnation) error {
	if t.mode == modeAwaitingSnapshot {
		return ErrNotInstalled
	}
	if t.mode == modeClosed && t.successor != successor {
		return ErrOtherSuccessor
	}
	t.mode = modeClosed
	t.successor = successor
	return nil
}

// Successor returns the incarnation that the table was closed for, or empty.
func (t *Table) Successor() ident.Incarnation {
	return t.successor
}

// Snapshot returns everything that the successor needs. The table must have been
// closed, so that every call returns the same content.
func (t *Table) Snapshot() (Snapshot, error) {
	if t.mode != modeClosed {
		return Snapshot{}, ErrNotClosed
	}
	return t.exportState(), nil
}

// exportState returns the content of the table in a deterministic order.
func (t *Table) exportState() Snapshot {
	out := Snapshot{Full: t.full, Spent: t.spent.list(), Forgotten: uint32(t.spent.lastForgotten)}
	for _, e := range t.entries {
		out.Entries = append(out.Entries, e.snapshotCopy())
	}
	slices.SortFunc(out.Entries, func(a, b Entry) int {
		return strings.Compare(a.Record.Spec.ID.String(), b.Record.Spec.ID.String())
	})
	return out
}

// Install loads a snapshot into a successor's table, which answers from then on.
// It does nothing if the table already answers or has been closed since.
func (t *Table) Install(s *Snapshot) {
	if t.mode != modeAwaitingSnapshot {
		return
	}
	for i := range s.Entries {
		e := s.Entries[i]
		e.pack()
		t.put(&e)
	}
	t.spent.merge(s.Spent, s.Forgotten)
	t.full = s.Full
	t.mode = modeActive
}
