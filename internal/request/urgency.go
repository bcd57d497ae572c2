package request

import "time"

// Urgency orders the requests that wait at an upstream, the greatest first. It is
// the negated latest time at which a request may start, in whole Unix seconds. As an
// absolute time it stays valid however long the request waits.
type Urgency int64

// UrgencyOf returns the urgency of a request whose answer takes duration.
func UrgencyOf(deadline time.Time, duration time.Duration) Urgency {
	return Urgency(-deadline.Add(-duration).Unix())
}
