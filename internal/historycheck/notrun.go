package historycheck

import (
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// CheckNotRun checks that no request whose caller was told "not run" was begun
// by a stand-in under that ID, before or after that.
func CheckNotRun(h *History) []Violation {
	r := report{property: PropertyNotRun}
	starts := startsByID(h)
	for i := range h.Calls {
		c := &h.Calls[i]
		for _, refusal := range c.Refusals {
			if refusal.Verdict != verdict.NotRun {
				continue
			}
			for _, start := range starts[refusal.ID] {
				r.add(c.Name, "%s was called not run at %s, and %s began it at %s", refusal.ID,
					refusal.At.Format(timeFormat), start.Standin, start.At.Format(timeFormat))
			}
		}
	}
	return r.out
}

// timeFormat shows times of a history.
const timeFormat = "15:04:05.000"

// startsByID returns the beginnings of each request ID.
func startsByID(h *History) map[string][]history.Entry {
	out := make(map[string][]history.Entry)
	for _, entry := range h.Runs {
		if entry.Event == history.EventStart {
			out[entry.RequestID] = append(out[entry.RequestID], entry)
		}
	}
	return out
}
