package historycheck

import (
	"fmt"
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/standin/history"
)

// CheckAtMostOnce checks that the stand-ins began each non-idempotent request at most
// once, counted over all the IDs that its caller used for it.
func CheckAtMostOnce(h *History) []Violation {
	r := report{property: PropertyAtMostOnce}
	starts := startsByID(h)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Idempotent {
			continue
		}
		var all []history.Entry
		for _, id := range slices.Compact(slices.Sorted(slices.Values(c.IDs))) {
			all = append(all, starts[id]...)
		}
		if len(all) > 1 {
			r.add(c.Name, "begun %d times: %s", len(all), formatStarts(all))
		}
	}
	return r.violations
}

// formatStarts returns the request ID, stand-in and time of each start as text.
func formatStarts(starts []history.Entry) string {
	var out []string
	for _, s := range starts {
		out = append(out, fmt.Sprintf("%s by %s at %s", s.RequestID, s.Standin, s.At.Format(timeFormat)))
	}
	return strings.Join(out, "; ")
}
