package historycheck

import "time"

// CheckSurvives checks that every accepted request was answered, unless its
// caller gave it up or a fault that nobody announced fell into its time.
func CheckSurvives(h *History) []Violation {
	r := report{property: PropertySurvives}
	for i := range h.Calls {
		c := &h.Calls[i]
		if !c.Accepted || c.Whole || c.Cancelled || unannounced(h, c.Started, c.Finished) {
			continue
		}
		r.add(c.Name, "accepted and not answered; last refusal: %s", lastRefusal(c))
	}
	return r.out
}

// unannounced reports whether a fault without announcement fell between start and end.
func unannounced(h *History, start, end time.Time) bool {
	for i := range h.Faults {
		f := &h.Faults[i]
		if !f.Kind.announced() && f.overlaps(start, end) {
			return true
		}
	}
	return false
}

func lastRefusal(c *Call) string {
	if len(c.Refusals) == 0 {
		return "none"
	}
	return c.Refusals[len(c.Refusals)-1].Verdict.String()
}
