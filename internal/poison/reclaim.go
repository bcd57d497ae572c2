package poison

import "time"

// reclaimMargin is how long before its announced time a reclaim may end a host.
const reclaimMargin = time.Second

// CausedByReclaim reports whether the crash of an upstream at died is attributed to a reclaim
// announced for the time announced. A crash well before that time counts like any other;
// a zero announced means that no reclaim was announced.
func CausedByReclaim(died, announced time.Time) bool {
	if announced.IsZero() {
		return false
	}
	return !died.Before(announced.Add(-reclaimMargin))
}
