package routing

import "time"

// reconfirmTime is how long the list must have been confirmed again, after a gap
// longer than maxAge, before it is used. The first messages read after a pause of
// this process may have been waiting in a socket, and timers that expired during
// the pause all fire at once.
const reconfirmTime = time.Second

// freshness tracks whether the list of upstreams is recent enough to use.
type freshness struct {
	// maxAge is the maximum age of the last confirmation; 0 means unlimited.
	maxAge    time.Duration
	confirmed time.Time
	// usableFrom is the earliest time at which the list may be used again after a gap.
	usableFrom time.Time
}

// confirm records that the list was current at time now.
func (f *freshness) confirm(now time.Time) {
	if !f.confirmed.IsZero() && now.Sub(f.confirmed) > f.maxAge {
		f.usableFrom = now.Add(reconfirmTime)
	}
	f.confirmed = now
}

// current reports whether the list is recent enough to choose from.
func (f *freshness) current(now time.Time) bool {
	if f.maxAge == 0 {
		return true
	}
	return now.Sub(f.confirmed) <= f.maxAge && !now.Before(f.usableFrom)
}
