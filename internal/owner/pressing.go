package owner

import "time"

// pressingWindow is the time before its latest start in which a request is
// pressing.
const pressingWindow = 2 * time.Second

// IsPressing reports whether a request is so close to latestStart, the time at which
// it is given up without a slot, that it is admitted beyond the normal queue limit.
// A zero latestStart means no limit.
func IsPressing(now, latestStart time.Time) bool {
	return !latestStart.IsZero() && latestStart.Sub(now) < pressingWindow
}
