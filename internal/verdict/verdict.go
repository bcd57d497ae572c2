// Package verdict defines the error that nodes return to callers and to each other.
// It states whether the request may have run.
//
// Invariant: NotRun is set only where it is certain. An error that has not been
// classified is MayHaveRun.
package verdict

// Verdict states whether a request may have run at an upstream.
type Verdict uint8

const (
	// MayHaveRun means that it is not known whether the request ran. It is the zero
	// value, so that an unclassified error is never taken for NotRun.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not run and never will be under this ID, or,
	// for an idempotent request, that it was not run to any effect.
	NotRun
	// Ran means that the request was run, completely or in part.
	Ran
)

// String returns the verdict as written in the caller API.
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
