package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/standin/history"
)

// LeavingGracePeriod is how long after its reclaim notice an upstream may still be sent new work.
const LeavingGracePeriod = 3 * time.Second

// CheckLeaving checks that a leaving stand-in was sent no new work later than
// LeavingGracePeriod after its notice, whether it accepted or refused the work.
func CheckLeaving(h *History) []Violation {
	r := report{property: PropertyLeaving}
	left := make(map[string]time.Time)
	for _, entry := range h.StandinEntries {
		if entry.Event == history.EventLeaving {
			if _, ok := left[entry.Standin]; !ok {
				left[entry.Standin] = entry.At
			}
		}
	}
	for _, entry := range h.StandinEntries {
		at, ok := left[entry.Standin]
		if !ok || (entry.Event != history.EventStart && entry.Event != history.EventRefused) {
			continue
		}
		if late := entry.At.Sub(at); late > LeavingGracePeriod {
			r.add(entry.Standin, "was sent %s %s after its notice", entry.RequestID, late.Round(time.Millisecond))
		}
	}
	return r.violations
}
