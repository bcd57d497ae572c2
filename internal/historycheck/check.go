package historycheck

// Check runs every checker and returns all violations found.
func Check(h *History) []Violation {
	var out []Violation
	out = append(out, CheckAnswered(h)...)
	out = append(out, CheckAnswerContent(h)...)
	out = append(out, CheckNotRun(h)...)
	out = append(out, CheckAtMostOnce(h)...)
	out = append(out, CheckLeaving(h)...)
	out = append(out, CheckPlannedStop(h)...)
	out = append(out, CheckConfig(h)...)
	return out
}
