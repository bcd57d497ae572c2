package poison

import "time"

// reclaimMargin is how much before its announced end a reclaim may take a host.
const reclaimMargin = time.Second

// ByReclaim reports whether the death of an upstream at died is put down to a
// reclaim that was announced for announced. A death well before that time is a
// crash like any other; a zero announced means that no reclaim was announced.
func ByReclaim(died, announced time.Time) bool {
	if announced.IsZero() {
		return false
	}
	return !died.Before(announced.Add(-reclaimMargin))
}
