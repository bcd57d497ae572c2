package historycheck

// CheckPlannedStop checks that a planned stop of a node broke no connection of a request
// in progress at that node, and that all requests in progress when it began were answered.
func CheckPlannedStop(h *History) []Violation {
	r := report{property: PropertyPlannedStop}
	for i := range h.Faults {
		f := &h.Faults[i]
		if f.Kind != FaultStop {
			continue
		}
		for j := range h.Calls {
			checkCallDuringStop(&r, h, f, &h.Calls[j])
		}
	}
	return r.violations
}

// checkCallDuringStop checks one call against one planned stop.
func checkCallDuringStop(r *report, h *History, stop *Fault, c *Call) {
	inProgress := c.Started.Before(stop.At) && c.Finished.After(stop.At)
	if !inProgress || !acceptedBySystem(h, c) {
		return
	}
	for _, loss := range c.Losses {
		if loss.Address == stop.Address && stop.overlaps(loss.At, loss.At) && !lossExcused(h, &loss) {
			r.add(c.Name, "its connection broke at %s while %s stopped by plan", loss.At.Format(timeFormat), stop.Target)
		}
	}
	if !c.Complete && !c.Cancelled && !excused(h, c) {
		r.add(c.Name, "not answered after %s stopped by plan", stop.Target)
	}
}

// lossExcused reports whether an unannounced fault of the same node or its link to
// callers could affect the connection when it broke.
func lossExcused(h *History, loss *Loss) bool {
	for i := range h.Faults {
		f := &h.Faults[i]
		if f.Kind.excuses() && f.Address == loss.Address && f.mayAffect(loss.At, loss.At) {
			return true
		}
	}
	return false
}
