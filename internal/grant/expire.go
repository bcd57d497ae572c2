package grant

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Expire removes the entries whose deadline passed more than retention before now,
// and returns how many. If the slot was taken, the fingerprint of the ID is kept
// until FingerprintTTL after the ID's prefix was issued. After that, every unknown
// non-idempotent ID with a prefix of the same period or an earlier one is refused,
// so that a granted request is never granted again, however late it is resent.
func (t *Table) Expire(now time.Time, retention time.Duration) int {
	if t.checkActive() != nil {
		return 0
	}
	dropped := 0
	for id, e := range t.entries {
		if !e.Record.Spec.Deadline.Add(retention).Before(now) {
			continue
		}
		t.forget(id, e)
		dropped++
	}
	t.spent.forget(now)
	return dropped
}

// forget removes an entry; the request remains known as spent if its slot was taken.
func (t *Table) forget(id ident.RequestID, e *Entry) {
	t.remove(e)
	if e.Slot.Taken {
		t.spent.add(id)
	}
}

// Kept appends the finished requests whose answers the table keeps.
func (t *Table) Kept(out []request.Kept) []request.Kept {
	if t.checkActive() != nil {
		return out
	}
	for id, e := range t.entries {
		if e.isPacked {
			bytes := int64(len(e.Record.Output) + e.packed.Size())
			out = append(out, request.Kept{ID: id, Since: e.Record.Spec.Deadline, Bytes: bytes})
		}
	}
	return out
}

// Drop removes a finished request before it expires, to save memory. It ignores other requests.
func (t *Table) Drop(id ident.RequestID) {
	if e, ok := t.entries[id]; ok && e.isPacked && t.checkActive() == nil {
		t.forget(id, e)
	}
}
