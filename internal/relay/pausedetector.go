package relay

import "time"

const (
	// maxTickGap is the longest time between two ticks of a process that was not paused.
	maxTickGap = time.Second
	// distrustAfterPause is how long after a pause proofs in hints are ignored, because
	// the hints may have waited in a socket buffer during the pause.
	distrustAfterPause = 2 * time.Second
)

// pauseDetector detects that this process was paused. It is not safe for concurrent use.
type pauseDetector struct {
	lastTick      time.Time
	distrustUntil time.Time
}

// tick records that the process runs. It must be called at an interval shorter than
// maxTickGap.
func (a *pauseDetector) tick(now time.Time) {
	if !a.lastTick.IsZero() && now.Sub(a.lastTick) > maxTickGap {
		a.distrustUntil = now.Add(distrustAfterPause)
	}
	a.lastTick = now
}

// trustsReceived reports whether a message that is read now was certainly sent recently.
func (a *pauseDetector) trustsReceived(now time.Time) bool {
	return now.Sub(a.lastTick) <= maxTickGap && !now.Before(a.distrustUntil)
}
