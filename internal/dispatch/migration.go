package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/recovery"
)

// replanInterval is how often a stream on a leaving upstream is planned again.
const replanInterval = 50 * time.Millisecond

// migration moves one stream away from an upstream that is leaving, or lets it
// finish there. Reading continues until the KV cache has been exported or another
// upstream has a placement for the request. A migration is used only by the
// goroutine that reads the stream; the placement and the export arrive on channels.
//
// Invariants: an export starts only when the request has a placement at another
// upstream; an unused placement is released; a failed export is not retried.
type migration struct {
	*streamReader
	// method is the method of the last plan, or empty.
	method recovery.Method
	// nextPlan is when to plan again.
	nextPlan time.Time
	// found receives the result of the search once: a placement, or nil when there
	// is none. The channel is nil before a search has started.
	found      chan Placement
	stopSearch context.CancelFunc
	// target is the placement that the search has found, or nil.
	target Placement
	// exported receives the result of the export once. The channel is nil while no
	// export is in progress.
	exported   chan exportResult
	stopExport context.CancelFunc
	// exportUnavailable is true once an export has failed.
	exportUnavailable bool
	// abandoned is true once this node stopped reading to use another upstream.
	abandoned bool
}

// keepReading is called after each token. It advances the migration and reports
// whether to continue reading the stream. While no placement is found, reading goes on
// until recovery.StayMargin before the end of a known notice period.
func (m *migration) keepReading(now time.Time) bool {
	m.checkExport()
	if m.exported != nil {
		return true
	}
	if !m.checkSearch() && now.Before(m.nextPlan) {
		return true
	}
	m.nextPlan = now.Add(replanInterval)
	q := m.collectPlanInputs(now)
	plan := m.d.costs.choosePlan(q, m.target != nil)
	m.recordPlan(q, plan)
	switch plan.Method {
	case recovery.MethodTransfer:
		if m.target != nil {
			m.startExport(q)
			return true
		}
	case recovery.MethodPrefill:
		if m.target != nil {
			return false
		}
	case recovery.MethodStay, recovery.MethodResume:
		m.releasePlacement()
		return true
	}
	m.startSearch()
	return q.source.NoticeAssumed || q.source.Notice > recovery.StayMargin
}

// recordPlan records a plan when its method differs from that of the last plan.
func (m *migration) recordPlan(q *planInputs, plan recovery.Plan) {
	if m.method == plan.Method {
		return
	}
	m.method = plan.Method
	m.d.recordDecision(m.e.spec.ID, "recovery", q.describe(plan))
}

// close cancels an export and releases a placement that are no longer needed.
func (m *migration) close() {
	if m.stopExport != nil {
		m.stopExport()
	}
	m.releasePlacement()
}
