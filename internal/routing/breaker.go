package routing

import "time"

const (
	// breakerFailures is how many failures in a row open a breaker.
	breakerFailures = 3
	// breakerBaseOpen is how long a breaker stays open the first time.
	breakerBaseOpen = time.Second
	// breakerMaxOpen bounds how long a breaker stays open.
	breakerMaxOpen = 30 * time.Second
)

// breaker keeps requests off an upstream that fails again and again. After a
// pause one request at a time tries it; a success closes the breaker.
type breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

// allows reports whether a request may be sent at now.
func (b *breaker) allows(now time.Time) bool {
	if b.failures < breakerFailures {
		return true
	}
	return !b.probing && !now.Before(b.until)
}

// started notes that a request was sent.
func (b *breaker) started() {
	if b.failures >= breakerFailures {
		b.probing = true
	}
}

// ended notes that a request ended without saying anything about the upstream.
func (b *breaker) ended() {
	b.probing = false
}

// succeeded notes a whole answer.
func (b *breaker) succeeded() {
	*b = breaker{}
}

// failed notes a failure that is the upstream's fault.
func (b *breaker) failed(now time.Time) {
	b.probing = false
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	b.pause = min(max(2*b.pause, breakerBaseOpen), breakerMaxOpen)
	b.until = now.Add(b.pause)
}
