package routing

import "time"

// settleTime is how long after a silence confirmations have to go on before a
// list is chosen from again. What is read at first may have waited in a socket
// while this process was paused, and timers that fell due meanwhile run at once.
const settleTime = time.Second

// freshness knows whether a list may be chosen from.
type freshness struct {
	// maxAge is how old the last confirmation may be; 0 means any age.
	maxAge    time.Duration
	confirmed time.Time
	// settled is from when on confirmations count.
	settled time.Time
}

// confirm notes that the list was current at now.
func (f *freshness) confirm(now time.Time) {
	if !f.confirmed.IsZero() && now.Sub(f.confirmed) > f.maxAge {
		f.settled = now.Add(settleTime)
	}
	f.confirmed = now
}

// current reports whether the list is young enough to choose from.
func (f *freshness) current(now time.Time) bool {
	if f.maxAge == 0 {
		return true
	}
	return now.Sub(f.confirmed) <= f.maxAge && !now.Before(f.settled)
}
