package request

import "time"

// Urgency orders requests that wait at an upstream, the greatest first. It is
// the latest time at which a request may start, in whole Unix seconds and
// negated, so that it keeps its meaning however long the request waits.
type Urgency int64

// UrgencyOf returns the urgency of a request that needs that long for its answer.
func UrgencyOf(deadline time.Time, needs time.Duration) Urgency {
	return Urgency(-deadline.Add(-needs).Unix())
}
