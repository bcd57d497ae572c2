package catalog

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

// Departure is what the store tells about an upstream that leaves or has left. Its times are by the
// clock of this node.
type Departure struct {
	// Last is the state in which the upstream was last seen.
	Last site.Upstream
	// ReportedAfter is a time before the store accepted the upstream's last report, and DrainingAfter one
	// before it accepted the first report of draining; zero if unknown.
	ReportedAfter, DrainingAfter time.Time
	// RemovedAt is when this node learnt that the upstream's entry was removed; zero while it has one.
	RemovedAt time.Time
}

// Departure returns what the store tells about an incarnation of an upstream. It returns false if it has
// no entry and its removal is not known: the entry is of a later incarnation, or of another writer.
func (u *Upstreams) Departure(upstream site.Upstream) (Departure, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e := u.entries[upstream.ID]; e != nil {
		return Departure{Last: e.upstream, ReportedAfter: e.reportedAfter, DrainingAfter: e.drainingAfter}, e.usable && e.upstream.SameStart(upstream)
	}
	r, found := u.removed[upstream.ID]
	return Departure{Last: r.upstream, ReportedAfter: r.reportedAfter, DrainingAfter: r.drainingAfter, RemovedAt: r.at}, found && r.upstream.SameStart(upstream)
}

// recordReport records that the store accepted the entry's change after a time at which only the known
// entry was there, if any.
func (e *entry) recordReport(known *entry, after time.Time) {
	e.reportedAfter = after
	if !e.upstream.Draining {
		return
	}
	e.drainingAfter = after
	if known != nil && known.upstream.Draining && known.upstream.SameStart(e.upstream) {
		e.drainingAfter = known.drainingAfter
	}
}
