package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// RecoveryTime is how long after the end of an unannounced fault the system may
// take to recover the requests that the fault affected.
const RecoveryTime = 10 * time.Second

// giveUpMargin is how long before its deadline a caller may stop trying, because
// its next attempt would not finish in time.
const giveUpMargin = 3 * time.Second

// acceptedBySystem reports whether the system accepted the request: a node reported so,
// a stand-in began to run it, or the last refusal said that it may have run. For a
// request that was sent once and never resent, only the report to the caller counts.
func acceptedBySystem(h *History, c *Call) bool {
	if c.Accepted {
		return true
	}
	if c.SentOnce {
		return false
	}
	n := len(c.Refusals)
	return len(startsOf(h, c)) > 0 || n > 0 && c.Refusals[n-1].Verdict == verdict.MayHaveRun
}

// excused reports whether an unannounced fault justifies that c has no answer.
//
//   - A request that reached its deadline is excused by a fault whose effects could
//     still last at the deadline.
//   - An idempotent request that ended before its deadline is never excused, because
//     it can run elsewhere.
//   - A non-idempotent request that ended before its deadline is excused if its caller
//     knows that it may have run and a fault hit a process that alone could decide it:
//     the home or the witness named by its ID, or the upstream that had it.
func excused(h *History, c *Call) bool {
	if reachedDeadlineDuringFault(h, c) {
		return true
	}
	return !c.Idempotent && c.Verdict == verdict.MayHaveRun && faultHitHolder(h, c)
}

// reachedDeadlineDuringFault reports whether c ended at its deadline, or within
// giveUpMargin before it, while an unannounced fault could still affect it.
func reachedDeadlineDuringFault(h *History, c *Call) bool {
	if c.Finished.Before(c.Deadline.Add(-giveUpMargin)) {
		return false
	}
	for i := range h.Faults {
		f := &h.Faults[i]
		if f.Kind.excuses() && f.mayAffect(c.Deadline, c.Deadline) {
			return true
		}
	}
	return false
}

// faultHitHolder reports whether an unannounced fault hit a node that decides about c
// or an upstream that may have had it.
func faultHitHolder(h *History, c *Call) bool {
	nodes, anyNode := holders(h, c)
	starts := startsOf(h, c)
	for i := range h.Faults {
		f := &h.Faults[i]
		if !f.Kind.excuses() || !f.mayAffect(c.Started, c.Finished) {
			continue
		}
		if f.Node != "" && (anyNode || nodes[f.Node]) {
			return true
		}
		if f.Upstream != "" && mayHaveReached(starts, f.Upstream) {
			return true
		}
	}
	return false
}

// holders returns the nodes that decide about c. If one of them left in an announced way,
// its tables were handed over to a node that the history does not name; anyNode is then true.
func holders(h *History, c *Call) (nodes map[ident.Node]bool, anyNode bool) {
	nodes = make(map[ident.Node]bool)
	if len(c.IDs) == 0 {
		return nodes, false
	}
	id, err := ident.ParseRequestID(c.IDs[len(c.IDs)-1])
	if err != nil {
		return nodes, false
	}
	nodes[id.Home.Node()] = true
	nodes[id.Witness.Node()] = true
	for i := range h.Faults {
		f := &h.Faults[i]
		if f.Kind.announced() && nodes[f.Node] && f.At.Before(c.Finished) {
			anyNode = true
		}
	}
	return nodes, anyNode
}

// mayHaveReached reports whether the upstream may have had the request whose starts are
// given. Without any start it may have: the request may be lost on the way to it.
func mayHaveReached(starts []history.Entry, upstream string) bool {
	for i := range starts {
		if starts[i].Standin == upstream {
			return true
		}
	}
	return len(starts) == 0
}

// startsOf returns the start entries of c under all its IDs.
func startsOf(h *History, c *Call) []history.Entry {
	var out []history.Entry
	for i := range h.StandinEntries {
		if h.StandinEntries[i].Event != history.EventStart {
			continue
		}
		for _, id := range c.IDs {
			if h.StandinEntries[i].RequestID == id {
				out = append(out, h.StandinEntries[i])
			}
		}
	}
	return out
}
