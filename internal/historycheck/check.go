package historycheck

// Check runs every checker and returns all violations found.
func Check(h *History) []Violation {
	var out []Violation
	out = append(out, CheckSurvives(h)...)
	out = append(out, CheckWhole(h)...)
	out = append(out, CheckNotRun(h)...)
	out = append(out, CheckOnce(h)...)
	out = append(out, CheckLeaving(h)...)
	out = append(out, CheckPlannedStop(h)...)
	out = append(out, CheckConfig(h)...)
	return out
}
