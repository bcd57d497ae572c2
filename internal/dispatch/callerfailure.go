package dispatch

import (
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/verdict"
)

// callerFailure translates the final failure of a request for the caller. The
// internal codes for a broken stream become CodeUpstreamFailed with verdict
// MayHaveRun: the upstream failed after it had started, and the result is unknown.
func callerFailure(failure *verdict.Error) *verdict.Error {
	switch failure.Code {
	case codeMoving, codeStreamUnknown, engine.CodeSilent:
		out := *failure
		out.Code = verdict.CodeUpstreamFailed
		out.Verdict = verdict.MayHaveRun
		return &out
	default:
		return failure
	}
}
