package callerclient

import (
	"math/rand/v2"
	"time"
)

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// backoff returns how long to wait before the given resend, the first being 1: half of it is jitter.
func backoff(resend int) time.Duration {
	d := maxBackoff
	if shift := resend - 1; shift < 7 {
		d = min(firstBackoff<<shift, maxBackoff)
	}
	return d/2 + time.Duration(rand.Int64N(int64(d/2)))
}
