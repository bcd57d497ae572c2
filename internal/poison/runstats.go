package poison

import "time"

const (
	// runsPerDismissal is how many successful runs dismiss the crashes of one moment.
	// Content that crashes fewer than one in this many of its upstreams can't be told from
	// content that happened to run when something else failed.
	runsPerDismissal = 50
	// sameCauseWindow is the time within which crashes are assumed to have one cause.
	sameCauseWindow = time.Second
	// maxRunStats limits the number of fingerprints whose runs are counted; the least recently
	// run ones are evicted.
	maxRunStats = 4096
)

// runStats counts recent successful runs of one content on this node.
type runStats struct {
	// finished is the number of successful runs that have not dismissed a crash yet, at most
	// runsPerDismissal.
	finished int
	// dismissedAt is the time of the crashes that were dismissed last.
	dismissedAt time.Time
}

// dismisses reports whether successful runs dismiss a crash at the given time. This uses
// the runs up, except for further crashes within the same sameCauseWindow.
func (r *runStats) dismisses(at time.Time) bool {
	if at.Sub(r.dismissedAt).Abs() <= sameCauseWindow {
		return true
	}
	return r.spendRuns(at)
}

// spendRuns uses up the runs needed to dismiss the crashes at one time. It returns false
// if there are too few.
func (r *runStats) spendRuns(at time.Time) bool {
	if r.finished < runsPerDismissal {
		return false
	}
	r.finished = 0
	r.dismissedAt = at
	return true
}
