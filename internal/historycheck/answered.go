package historycheck

// CheckAnswered checks that every accepted request was answered, unless its caller
// cancelled it or an unannounced fault excuses the missing answer.
func CheckAnswered(h *History) []Violation {
	r := report{property: PropertyAnswered}
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Complete || c.Cancelled || !acceptedBySystem(h, c) || excused(h, c) {
			continue
		}
		r.add(c.Name, "accepted and not answered; last refusal: %s", lastRefusal(c))
	}
	return r.violations
}

// lastRefusal returns the verdict of the last refusal as text.
func lastRefusal(c *Call) string {
	if len(c.Refusals) == 0 {
		return "none"
	}
	return c.Refusals[len(c.Refusals)-1].Verdict.String()
}
