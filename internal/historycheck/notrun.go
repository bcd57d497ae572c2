package historycheck

import (
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// CheckNotRun checks that no stand-in began a request under an ID that was refused
// with the verdict not run, before or after the refusal.
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
	return r.violations
}

// timeFormat is the layout of times in violations.
const timeFormat = "15:04:05.000"

// startsByID returns the start entries of each request ID.
func startsByID(h *History) map[string][]history.Entry {
	out := make(map[string][]history.Entry)
	for _, entry := range h.StandinEntries {
		if entry.Event == history.EventStart {
			out[entry.RequestID] = append(out[entry.RequestID], entry)
		}
	}
	return out
}
