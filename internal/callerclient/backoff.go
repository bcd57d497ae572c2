package callerclient

import (
	"math/rand/v2"
	"time"
)

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// backoff returns how long to wait before the given retry, counted from 1. The wait
// doubles with each retry up to maxBackoff, and up to half of it is random jitter.
func backoff(retry int) time.Duration {
	d := maxBackoff
	if shift := retry - 1; shift < 7 {
		d = min(firstBackoff<<shift, maxBackoff)
	}
	return d/2 + time.Duration(rand.Int64N(int64(d/2)))
}
