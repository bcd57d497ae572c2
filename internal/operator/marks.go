package operator

import (
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
)

var (
	markedLeaving = &explain.Decision{Name: "leaving", Sentence: "Gets no new work from now on: it was learnt by {source} that it is leaving."}
	markCleared   = &explain.Decision{Name: "leaving cleared", Sentence: "May get new work again: an operator took back that it is leaving."}
)

// RecordMarks has journal note each mark of an upstream or host that comes into force on this node.
func RecordMarks(journal *explain.Journal, leaving *fleet.Leaving) {
	leaving.OnMark(func(mark fleet.Mark) {
		kind, id := explain.KindUpstream, string(mark.Subject.Upstream)
		if id == "" {
			kind, id = explain.KindHost, string(mark.Subject.Host)
		}
		decision := markedLeaving
		if mark.Cleared {
			decision = markCleared
		}
		journal.Record(kind, id, decision, explain.Text("source", mark.Source))
	})
}
