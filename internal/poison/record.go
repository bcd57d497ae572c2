package poison

import "time"

const (
	// runsPerDeath is how many runs to their end outweigh the deaths of upstreams at one
	// moment. A content that ends fewer than one in so many of its upstreams cannot be
	// told from one that happened to run where something else failed.
	runsPerDeath = 50
	// sameMoment is the time within which deaths of upstreams have one cause.
	sameMoment = time.Second
	// maxRecords bounds the contents whose runs are counted; those that ran longest ago go.
	maxRecords = 4096
)

// record is how a content ran on this node lately.
type record struct {
	// finished counts runs to their end that outweigh nothing yet, up to runsPerDeath.
	finished int
	// outweighed is the moment of the deaths that finished runs outweighed last.
	outweighed time.Time
}

// outweighs reports whether runs that finished speak for a content under which an
// upstream died at a moment. They are used up by it, except for others of that moment.
func (r *record) outweighs(at time.Time) bool {
	if at.Sub(r.outweighed).Abs() <= sameMoment {
		return true
	}
	return r.use(at)
}

// use takes the runs that outweigh the deaths of one moment, if there are so many.
func (r *record) use(at time.Time) bool {
	if r.finished < runsPerDeath {
		return false
	}
	r.finished = 0
	r.outweighed = at
	return true
}
