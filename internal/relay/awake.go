package relay

import "time"

const (
	// maxTickGap is the time without a tick from which this process counts as paused.
	maxTickGap = time.Second
	// wakeDistrust is for how long after a pause proofs of others are not taken
	// over: they may have waited in a socket meanwhile.
	wakeDistrust = 2 * time.Second
)

// awake notices that this process was paused. It is not safe for concurrent use.
type awake struct {
	ticked       time.Time
	distrustTill time.Time
}

// tick is called at an interval shorter than maxTickGap.
func (a *awake) tick(now time.Time) {
	if !a.ticked.IsZero() && now.Sub(a.ticked) > maxTickGap {
		a.distrustTill = now.Add(wakeDistrust)
	}
	a.ticked = now
}

// trusts reports whether what is read now was surely sent a moment ago.
func (a *awake) trusts(now time.Time) bool {
	return now.Sub(a.ticked) <= maxTickGap && !now.Before(a.distrustTill)
}
