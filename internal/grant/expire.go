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

// Kept appends the finished requests that have an answer. Those without one are not listed: there is nothing to
// save, and a promise that the request is not run may rest on them.
func (t *Table) Kept(out []request.Kept) []request.Kept {
	if t.checkActive() != nil {
		return out
	}
	for id, e := range t.entries {
		if bytes := e.answerBytes(); bytes > 0 {
			out = append(out, request.Kept{ID: id, Since: e.Record.Spec.Deadline, Bytes: bytes})
		}
	}
	return out
}

// Drop removes a request that Kept has listed before it expires, to save memory. It ignores other requests.
func (t *Table) Drop(id ident.RequestID) {
	if e, ok := t.entries[id]; ok && e.answerBytes() > 0 && t.checkActive() == nil {
		t.forget(id, e)
	}
}

// answerBytes returns the size of a finished request's answer, or 0 if it has none or has not ended.
func (e *Entry) answerBytes() int64 {
	if !e.isPacked {
		return 0
	}
	return int64(len(e.Record.Output) + e.packed.Size())
}
