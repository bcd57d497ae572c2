package owner

import "time"

// pressingTime is for how long before it is given up a request is pressing.
const pressingTime = 2 * time.Second

// Pressing reports whether a request that has to have its place by latestStart
// is to be let in where others have to wait; a zero time means no bound.
func Pressing(now, latestStart time.Time) bool {
	return !latestStart.IsZero() && latestStart.Sub(now) < pressingTime
}
