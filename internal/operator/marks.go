package operator

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// Recorded decisions about upstreams and hosts that leave or are drained.
var (
	decisionLeaving        = &explain.Decision{Name: "leaving", Sentence: "Gets no new work from now on, since it is leaving. How that was learnt: {source}. When it is taken away: {reclaim}."}
	decisionHostLeaving    = &explain.Decision{Name: "leaving", Sentence: "Gets no new work from now on, since its host {host} is leaving. How that was learnt: {source}. When it is taken away: {reclaim}."}
	decisionDrained        = &explain.Decision{Name: "drained", Sentence: "Gets no new work from now on: an operator drains {subject}, until `clear drain {subject}`."}
	decisionDrainCleared   = &explain.Decision{Name: "drain cleared", Sentence: "The drain of {subject} was cleared: it may get new work again, unless it is leaving for another reason."}
	decisionLeavingCleared = &explain.Decision{Name: "leaving cleared", Sentence: "May get new work again: an operator took back that it is leaving."}
)

// markState is the content of the last mark that was recorded for a subject.
type markState struct {
	source  fleet.Source
	cleared bool
	// reclaimAt is in Unix milliseconds; 0 while it is not known.
	reclaimAt int64
}

// reclaimUnknown is shown for a reclaim time that is not known.
const reclaimUnknown = "nobody has said"

// reclaimText returns the reclaim time of mark in RFC 3339 and UTC, or reclaimUnknown.
func reclaimText(mark fleet.Mark) string {
	if mark.ReclaimAt.IsZero() {
		return reclaimUnknown
	}
	return mark.ReclaimAt.UTC().Format(time.RFC3339)
}

// markRecorder records leaving marks in a journal. A mark that repeats the last one of
// its subject is not recorded again.
//
// Lock order: mu is a leaf.
type markRecorder struct {
	journal *explain.Journal
	fleet   fleet.View

	mu   sync.Mutex
	last map[fleet.Subject]markState
}

// RecordLeavingMarks records in journal each mark that comes into force on this node: for its
// upstream or host, and for the host's upstreams in view.
func RecordLeavingMarks(journal *explain.Journal, leaving *fleet.LeavingMarks, view fleet.View) {
	r := &markRecorder{journal: journal, fleet: view, last: make(map[fleet.Subject]markState)}
	leaving.OnMark(r.record)
}

// record records a mark if it differs from the last one of its subject.
func (r *markRecorder) record(mark fleet.Mark) {
	if !r.differsFromLast(mark) {
		return
	}
	if mark.Source == fleet.SourceDrain {
		r.recordDrain(mark)
		return
	}
	source := explain.Text("source", mark.Source)
	reclaim := explain.Text("reclaim", reclaimText(mark))
	decision := decisionLeaving
	if mark.Cleared {
		decision = decisionLeavingCleared
	}
	if mark.Subject.Upstream != "" {
		r.journal.Record(explain.KindUpstream, string(mark.Subject.Upstream), decision, source, reclaim)
		return
	}
	r.journal.Record(explain.KindHost, string(mark.Subject.Host), decision, source, reclaim)
	if !mark.Cleared {
		decision = decisionHostLeaving
	}
	for _, id := range r.upstreamsOn(mark.Subject.Host) {
		r.journal.Record(explain.KindUpstream, string(id), decision, source, reclaim, explain.Text("host", mark.Subject.Host))
	}
}

// recordDrain records that a drain was declared or cleared.
func (r *markRecorder) recordDrain(mark fleet.Mark) {
	decision := decisionDrained
	if mark.Cleared {
		decision = decisionDrainCleared
	}
	subject := explain.Text("subject", mark.Subject.String())
	if mark.Subject.Upstream != "" {
		r.journal.Record(explain.KindUpstream, string(mark.Subject.Upstream), decision, subject)
		return
	}
	r.journal.Record(explain.KindHost, string(mark.Subject.Host), decision, subject)
	for _, id := range r.upstreamsOn(mark.Subject.Host) {
		r.journal.Record(explain.KindUpstream, string(id), decision, subject)
	}
}

// differsFromLast reports whether the mark differs from the last one of its subject, and
// remembers it if so.
func (r *markRecorder) differsFromLast(mark fleet.Mark) bool {
	state := markState{source: mark.Source, cleared: mark.Cleared}
	if !mark.ReclaimAt.IsZero() {
		state.reclaimAt = mark.ReclaimAt.UnixMilli()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.last[mark.Subject]; ok && last == state {
		return false
	}
	r.last[mark.Subject] = state
	return true
}

// upstreamsOn returns the upstreams on host.
func (r *markRecorder) upstreamsOn(host ident.Host) []ident.Upstream {
	var out []ident.Upstream
	upstreams := r.fleet.Upstreams()
	for i := range upstreams {
		if upstreams[i].Host == host {
			out = append(out, upstreams[i].ID)
		}
	}
	return out
}
