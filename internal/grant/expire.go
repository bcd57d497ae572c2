package grant

import "time"

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
		t.remove(e)
		if e.Slot.Taken {
			t.spent.add(id)
		}
		dropped++
	}
	t.spent.forget(now)
	return dropped
}
