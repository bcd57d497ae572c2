package historycheck

// CheckSurvives checks that every accepted request was answered, unless its
// caller gave it up or an unannounced fault struck it so that none could be given.
func CheckSurvives(h *History) []Violation {
	r := report{property: PropertySurvives}
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Whole || c.Cancelled || !accepted(h, c) || excused(h, c) {
			continue
		}
		r.add(c.Name, "accepted and not answered; last refusal: %s", lastRefusal(c))
	}
	return r.out
}

func lastRefusal(c *Call) string {
	if len(c.Refusals) == 0 {
		return "none"
	}
	return c.Refusals[len(c.Refusals)-1].Verdict.String()
}
