package callerclient

import (
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/verdict"
)

// action is what to do after an attempt that brought no whole answer.
type action uint8

const (
	// actionGiveUp ends the request with what the last attempt said.
	actionGiveUp action = iota
	// actionResend sends the same ID to another address.
	actionResend
	// actionFreshID sends the request under a new ID; only after not_run.
	actionFreshID
	// actionResubmit sends the same ID again with the tokens received.
	actionResubmit
	// actionRestart drops the tokens received and reads the stream from its start.
	actionRestart
)

// elsewhere holds the codes that tell about one node, not about the request.
var elsewhere = map[verdict.Code]bool{
	verdict.CodeStopping:      true,
	verdict.CodeStale:         true,
	verdict.CodeNodeLost:      true,
	verdict.CodePrefixExpired: true,
}

// afterRefusal chooses what to do about a refusal of a send.
//
// The same ID may always be sent again: whoever gets it finds the same grant. A
// new ID is a new request, so it needs the word that the old one was not run.
//
// holding is true when the caller resumes a stream or holds tokens of it.
func afterRefusal(refusal *callerapi.Refusal, holding bool) action {
	code := verdict.Code(refusal.Code)
	if holding {
		switch code {
		case verdict.CodeProgressLost, verdict.CodeUnknownRequest:
			return actionResubmit
		case verdict.CodeGenerationChanged:
			return actionRestart
		}
	}
	if code == verdict.CodeBadInput {
		return actionGiveUp
	}
	comeBack := elsewhere[code] || refusal.RetryAfterMs.Or(0) > 0
	if !comeBack {
		return actionGiveUp
	}
	if refusal.Verdict == callerapi.RefusalVerdictNotRun {
		return actionFreshID
	}
	if refusal.Verdict == callerapi.RefusalVerdictMayHaveRun {
		return actionResend
	}
	return actionGiveUp
}

func retryAfter(refusal *callerapi.Refusal) time.Duration {
	return time.Duration(refusal.RetryAfterMs.Or(0)) * time.Millisecond
}

// VerdictOf returns the verdict that a refusal of the API names; one that is not
// known counts as may_have_run.
func VerdictOf(v callerapi.RefusalVerdict) verdict.Verdict {
	switch v {
	case callerapi.RefusalVerdictNotRun:
		return verdict.NotRun
	case callerapi.RefusalVerdictRan:
		return verdict.Ran
	case callerapi.RefusalVerdictMayHaveRun:
		return verdict.MayHaveRun
	}
	return verdict.MayHaveRun
}
