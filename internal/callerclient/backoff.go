package callerclient

import (
	"context"
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

// sleep reports whether it slept for all of d.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
