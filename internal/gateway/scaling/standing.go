package scaling

import "time"

const (
	// startTolerance is how long after the usual boot time an ordered upstream still counts as
	// pending.
	startTolerance = 1500 * time.Millisecond
	// resendAfter is how long fewer upstreams than ordered may run before the order is sent
	// again.
	resendAfter = 3 * time.Second
	// unknownBackoff is the pause after an order whose result is unknown.
	unknownBackoff = time.Second
	// unavailableFor is how long no reclaimable upstreams are ordered in a domain after the
	// platform had none: they usually stay unavailable for some seconds.
	unavailableFor = 3 * time.Second
	// scaleDownDelay is how long fewer upstreams must suffice before some are released.
	scaleDownDelay = 6 * time.Second
)

// standingOrder is the last order of one kind in one domain.
type standingOrder struct {
	// count is the number ordered; -1 while no order is known to be in effect.
	count int
	// acceptedAt is when the order was accepted, sentAt when one was last sent.
	acceptedAt time.Time
	sentAt     time.Time
	// refusedAt is when the platform last had no such upstreams.
	refusedAt time.Time
	// resultUnknown is true when the result of the last order sent is unknown.
	resultUnknown bool
	// maxPlanned is the largest number planned since scaleDownSince, always less than count.
	maxPlanned     int
	scaleDownSince time.Time
}

// unavailable reports whether no upstreams are assumed to be available for now.
func (o *standingOrder) unavailable(now time.Time) bool {
	return !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < unavailableFor
}

// pending returns how many ordered upstreams are still expected to start, given the number that
// are running.
func (o *standingOrder) pending(running int, boot time.Duration, now time.Time) int {
	if o.count <= running || now.Sub(o.acceptedAt) > boot+startTolerance || o.unavailable(now) {
		return 0
	}
	return o.count - running
}

// adoptRunning treats the running upstreams as ordered if more run than planned and no order is
// known: a previous lease holder ordered them, and they are released with the usual delay.
func (o *standingOrder) adoptRunning(planned, running int) {
	if o.count < 0 && planned < running {
		o.count = running
	}
}

// due returns the number to order; ok is false when no order is due.
func (o *standingOrder) due(planned, running int, boot time.Duration, now time.Time) (count int, ok bool) {
	if o.resultUnknown && now.Sub(o.sentAt) < unknownBackoff {
		return 0, false
	}
	if o.count < 0 || planned > o.count {
		o.scaleDownSince = time.Time{}
		return planned, true
	}
	if planned == o.count {
		o.scaleDownSince = time.Time{}
		missing := running < planned && now.Sub(o.acceptedAt) > boot+resendAfter && now.Sub(o.sentAt) > resendAfter
		return planned, missing
	}
	if o.scaleDownSince.IsZero() {
		o.scaleDownSince, o.maxPlanned = now, planned
	}
	o.maxPlanned = max(o.maxPlanned, planned)
	return o.maxPlanned, now.Sub(o.scaleDownSince) >= scaleDownDelay
}

// recordResult records the result of an order.
func (o *standingOrder) recordResult(count int, result Result, now time.Time) {
	o.sentAt = now
	o.resultUnknown = result == Unknown
	switch result {
	case Accepted:
		*o = standingOrder{count: count, acceptedAt: now, sentAt: now}
	case NoneAvailable:
		o.refusedAt = now
	case Fenced, Unknown:
	}
}
