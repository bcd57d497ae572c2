package grant

import "time"

// Expire drops the entries whose deadline passed more than retention before now,
// and returns how many. Of a taken slot the fingerprint stays, for FingerprintLife
// after the issue of its prefix; from then on every unknown non-idempotent ID of
// its time is refused, so that a granted request is never granted again, however
// late it is sent.
func (t *Table) Expire(now time.Time, retention time.Duration) int {
	if t.check() != nil {
		return 0
	}
	dropped := 0
	for id, e := range t.entries {
		if !e.Record.Spec.Deadline.Add(retention).Before(now) {
			continue
		}
		t.drop(e)
		if e.Slot.Taken {
			t.spent.add(id)
		}
		dropped++
	}
	t.spent.forget(now)
	return dropped
}
