package dispatch

import (
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/verdict"
)

// forCaller returns the failure of a request that ends as callers know it. The
// codes that tell the dispatcher how a stream broke say nothing to a caller: its
// upstream failed after it had begun, and nobody can tell what came of it.
func forCaller(failure *verdict.Error) *verdict.Error {
	switch failure.Code {
	case codeMoving, codeForgotten, engine.CodeSilent:
		out := *failure
		out.Code = verdict.CodeUpstreamFailed
		out.Verdict = verdict.MayHaveRun
		return &out
	default:
		return failure
	}
}
