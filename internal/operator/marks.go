package operator

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

var (
	markedLeaving = &explain.Decision{Name: "leaving", Sentence: "Gets no new work from now on, since it is leaving. How that was learnt: {source}. When it is taken away: {reclaim}."}
	hostLeaving   = &explain.Decision{Name: "leaving", Sentence: "Gets no new work from now on, since its host {host} is leaving. How that was learnt: {source}. When it is taken away: {reclaim}."}
	drained       = &explain.Decision{Name: "drained", Sentence: "Gets no new work from now on: an operator drains {subject}, until `clear drain {subject}`."}
	drainCleared  = &explain.Decision{Name: "drain cleared", Sentence: "The drain of {subject} was cleared: it may get new work again, unless it is leaving for another reason."}
	markCleared   = &explain.Decision{Name: "leaving cleared", Sentence: "May get new work again: an operator took back that it is leaving."}
)

// markNote is what was noted last about a subject.
type markNote struct {
	source  fleet.Source
	cleared bool
	// reclaimAt is in Unix milliseconds; 0 while nobody has said.
	reclaimAt int64
}

// reclaimUnknown stands for the time at which a host is taken while nobody has said it.
const reclaimUnknown = "nobody has said"

func reclaimText(mark fleet.Mark) string {
	if mark.ReclaimAt.IsZero() {
		return reclaimUnknown
	}
	return mark.ReclaimAt.UTC().Format(time.RFC3339)
}

// markRecorder notes marks of leaving in a journal, each news once.
//
// Lock order: mu is a leaf.
type markRecorder struct {
	journal *explain.Journal
	fleet   fleet.View

	mu   sync.Mutex
	last map[fleet.Subject]markNote
}

// RecordMarks has journal note each mark that comes into force on this node,
// for an upstream or host and for the upstreams of the host that view knows.
func RecordMarks(journal *explain.Journal, leaving *fleet.LeavingMarks, view fleet.View) {
	r := &markRecorder{journal: journal, fleet: view, last: make(map[fleet.Subject]markNote)}
	leaving.OnMark(r.note)
}

func (r *markRecorder) note(mark fleet.Mark) {
	if !r.isNews(mark) {
		return
	}
	if mark.Source == fleet.SourceDrain {
		r.noteDrain(mark)
		return
	}
	source := explain.Text("source", mark.Source)
	reclaim := explain.Text("reclaim", reclaimText(mark))
	decision := markedLeaving
	if mark.Cleared {
		decision = markCleared
	}
	if mark.Subject.Upstream != "" {
		r.journal.Record(explain.KindUpstream, string(mark.Subject.Upstream), decision, source, reclaim)
		return
	}
	r.journal.Record(explain.KindHost, string(mark.Subject.Host), decision, source, reclaim)
	if !mark.Cleared {
		decision = hostLeaving
	}
	for _, id := range r.upstreamsOf(mark.Subject.Host) {
		r.journal.Record(explain.KindUpstream, string(id), decision, source, reclaim, explain.Text("host", mark.Subject.Host))
	}
}

// noteDrain notes a drain that came or went.
func (r *markRecorder) noteDrain(mark fleet.Mark) {
	decision := drained
	if mark.Cleared {
		decision = drainCleared
	}
	subject := explain.Text("subject", mark.Subject.String())
	if mark.Subject.Upstream != "" {
		r.journal.Record(explain.KindUpstream, string(mark.Subject.Upstream), decision, subject)
		return
	}
	r.journal.Record(explain.KindHost, string(mark.Subject.Host), decision, subject)
	for _, id := range r.upstreamsOf(mark.Subject.Host) {
		r.journal.Record(explain.KindUpstream, string(id), decision, subject)
	}
}

// isNews reports whether the mark says something else than the last one of its subject.
func (r *markRecorder) isNews(mark fleet.Mark) bool {
	note := markNote{source: mark.Source, cleared: mark.Cleared}
	if !mark.ReclaimAt.IsZero() {
		note.reclaimAt = mark.ReclaimAt.UnixMilli()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.last[mark.Subject]; ok && known == note {
		return false
	}
	r.last[mark.Subject] = note
	return true
}

func (r *markRecorder) upstreamsOf(host ident.Host) []ident.Upstream {
	var out []ident.Upstream
	upstreams := r.fleet.Upstreams()
	for i := range upstreams {
		if upstreams[i].Host == host {
			out = append(out, upstreams[i].ID)
		}
	}
	return out
}
