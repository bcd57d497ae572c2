// Package clock reads a clock that keeps running while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time of a monotonic clock that includes the time during which the host was
// suspended. Use it only for differences on this host, not as a time of day.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The monotonic clock, which stops during suspension, is the fallback.
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
