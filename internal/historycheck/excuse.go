package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// RecoveryTime is how long after the end of an unannounced fault the system may
// take to find another way for the requests that it touched.
const RecoveryTime = 10 * time.Second

// giveUpMargin is how long before its deadline a caller may stop trying, since
// its next attempt would come too late.
const giveUpMargin = 3 * time.Second

// accepted reports whether the system had taken the request in: it said so, a
// stand-in began it, or a node said that it may have run. A request that its
// caller sent once and did not come back to has only what it was told then.
func accepted(h *History, c *Call) bool {
	if c.Accepted {
		return true
	}
	if c.Single {
		return false
	}
	n := len(c.Refusals)
	return len(startsOf(h, c)) > 0 || n > 0 && c.Refusals[n-1].Verdict == verdict.MayHaveRun
}

// excused reports whether an unannounced fault allows that c has no answer.
//
//   - At its deadline: a fault that was still felt then.
//   - Before it, an idempotent request is never excused: it can run elsewhere.
//   - A non-idempotent one is, when its caller knows that it may have run and a
//     fault struck who alone held it: the home or the witness that its ID names,
//     or the upstream that had it.
func excused(h *History, c *Call) bool {
	if deadlineCame(h, c) {
		return true
	}
	return !c.Idempotent && c.Verdict == verdict.MayHaveRun && holderStruck(h, c)
}

func deadlineCame(h *History, c *Call) bool {
	if c.Finished.Before(c.Deadline.Add(-giveUpMargin)) {
		return false
	}
	for i := range h.Faults {
		f := &h.Faults[i]
		if f.Kind.excuses() && f.felt(c.Deadline, c.Deadline) {
			return true
		}
	}
	return false
}

// holderStruck reports whether an unannounced fault struck a holder of c.
func holderStruck(h *History, c *Call) bool {
	nodes, anyNode := holders(h, c)
	starts := startsOf(h, c)
	for i := range h.Faults {
		f := &h.Faults[i]
		if !f.Kind.excuses() || !f.felt(c.Started, c.Finished) {
			continue
		}
		if f.Node != "" && (anyNode || nodes[f.Node]) {
			return true
		}
		if f.Upstream != "" && hadIt(starts, f.Upstream) {
			return true
		}
	}
	return false
}

// holders returns the nodes that decide about c. When one of them left by plan,
// its tables went to a node that the history doesn't name: it may be any.
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

// hadIt reports whether the upstream had the request. One that was lost on the
// way to a stand-in was begun by none.
func hadIt(starts []history.Entry, upstream string) bool {
	for i := range starts {
		if starts[i].Standin == upstream {
			return true
		}
	}
	return len(starts) == 0
}

// startsOf returns the beginnings of c under all its IDs.
func startsOf(h *History, c *Call) []history.Entry {
	var out []history.Entry
	for i := range h.Runs {
		if h.Runs[i].Event != history.EventStart {
			continue
		}
		for _, id := range c.IDs {
			if h.Runs[i].RequestID == id {
				out = append(out, h.Runs[i])
			}
		}
	}
	return out
}
