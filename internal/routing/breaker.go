package routing

import "time"

const (
	// breakerFailures is the number of consecutive failures that opens a breaker.
	breakerFailures = 3
	// breakerBaseOpen is how long a breaker stays open after it first opens.
	breakerBaseOpen = time.Second
	// breakerMaxOpen is the longest time a breaker stays open.
	breakerMaxOpen = 30 * time.Second
)

// breaker is a circuit breaker for one upstream: after several consecutive
// failures it blocks requests. Once the open time has elapsed it admits one
// probe request at a time; a success closes it, a failure doubles the open time.
type breaker struct {
	consecutiveFailures int
	openFor             time.Duration
	openUntil           time.Time
	probing             bool
}

// allows reports whether a request may be sent at time now.
func (b *breaker) allows(now time.Time) bool {
	if b.consecutiveFailures < breakerFailures {
		return true
	}
	return !b.probing && !now.Before(b.openUntil)
}

// recordStart records that a request was sent.
func (b *breaker) recordStart() {
	if b.consecutiveFailures >= breakerFailures {
		b.probing = true
	}
}

// recordNeutral records the end of a request that says nothing about the upstream's health.
func (b *breaker) recordNeutral() {
	b.probing = false
}

// recordSuccess records a complete answer and closes the breaker.
func (b *breaker) recordSuccess() {
	*b = breaker{}
}

// recordFailure records a failure caused by the upstream.
func (b *breaker) recordFailure(now time.Time) {
	b.probing = false
	b.consecutiveFailures++
	if b.consecutiveFailures < breakerFailures {
		return
	}
	b.openFor = min(max(2*b.openFor, breakerBaseOpen), breakerMaxOpen)
	b.openUntil = now.Add(b.openFor)
}
