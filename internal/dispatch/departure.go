package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/recovery"
)

// replanInterval is the time between two plans for a stream on a leaving upstream.
const replanInterval = 50 * time.Millisecond

// departure gets one stream away from an upstream that is leaving, or lets it
// stay there. The stream is read on until its cache leaves or another upstream
// has a place for it. It belongs to the goroutine that reads the stream; the
// place and the export come to it by channels.
//
// Invariants: an export begins only when the request has a place elsewhere; a
// place that is not used is given back; a failed export is not tried again.
type departure struct {
	*reading
	// method is what was last chosen, or empty.
	method recovery.Method
	// next is when to plan again.
	next time.Time
	// asked yields a place or nil once; nil while nobody was asked.
	asked    chan Placement
	stopAsk  context.CancelFunc
	target   Placement
	exported chan exportResult
	stopExp  context.CancelFunc
	// noExport is true once an export has failed.
	noExport bool
	// left is true once the stream was given up for another upstream.
	left bool
}

// goOn looks at the stream after one more token and reports whether it may be read on.
func (p *departure) goOn(now time.Time) bool {
	p.lookAtExport()
	if p.exported != nil {
		return true
	}
	if !p.lookAtPlace() && now.Before(p.next) {
		return true
	}
	p.next = now.Add(replanInterval)
	q := p.question(now)
	plan := p.d.costs.choose(q, p.target != nil)
	p.tell(q, plan)
	switch plan.Method {
	case recovery.MethodTransfer:
		if p.target != nil {
			p.beginExport(q)
			return true
		}
	case recovery.MethodPrefill:
		if p.target != nil {
			return false
		}
	case recovery.MethodStay, recovery.MethodResume:
		p.giveBack()
		return true
	}
	p.ask()
	return q.source.NoticeAssumed || q.source.Notice > recovery.StayMargin
}

// tell notes a plan when it is another way than before.
func (p *departure) tell(q *question, plan recovery.Plan) {
	if p.method == plan.Method {
		return
	}
	p.method = plan.Method
	p.d.note(p.e.spec.ID, "recovery", q.note(plan))
}

// close ends what is under way for a stream that needs it no more.
func (p *departure) close() {
	if p.stopExp != nil {
		p.stopExp()
	}
	p.giveBack()
}
