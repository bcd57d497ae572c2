// Package verdict says, for every error that crosses a boundary, whether the
// request behind it may have run.
//
// Invariant: NotRun is said only by one who knows. An error that nobody has
// classified is MayHaveRun.
package verdict

// Verdict tells whether a request may have run at an upstream.
type Verdict uint8

const (
	// MayHaveRun means that nobody can tell. It is the zero value on purpose.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not run and never will be under this ID,
	// or, for an idempotent request, was not run to an effect.
	NotRun
	// Ran means that the request was run, to an end or in part.
	Ran
)

// String returns the verdict as the caller API spells it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may_have_run"
	}
	return "may_have_run"
}
