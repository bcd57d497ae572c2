// Package wait waits for a time or for the end of a context, whichever is first.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends; a d of 0 or less does not wait.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
