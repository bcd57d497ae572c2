package callerclient

import (
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/verdict"
)

// action is what to do after an attempt that did not complete the request.
type action uint8

const (
	// actionGiveUp ends the request with the refusal of the last attempt.
	actionGiveUp action = iota
	// actionResend sends the same ID to another address.
	actionResend
	// actionNewID sends the request with a new ID; only after not_run.
	actionNewID
	// actionResubmit sends the same ID again with the tokens received.
	actionResubmit
	// actionRestart drops the tokens received and reads the stream from its start.
	actionRestart
)

// nodeSpecificCodes holds the refusal codes that concern the node, not the request,
// so that another node may accept it.
var nodeSpecificCodes = map[verdict.Code]bool{
	verdict.CodeStopping:      true,
	verdict.CodeStale:         true,
	verdict.CodeNodeLost:      true,
	verdict.CodePrefixExpired: true,
}

// actionAfterRefusal returns what to do after a refusal.
//
// The same ID may always be sent again, because every node finds the same grant for
// it. A new ID is a new request, so it requires the verdict that the old one was not run.
//
// hasProgress is true when the caller resumes a stream or has received tokens of it.
func actionAfterRefusal(refusal *callerapi.Refusal, hasProgress bool) action {
	code := verdict.Code(refusal.Code)
	if hasProgress {
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
	retryable := nodeSpecificCodes[code] || refusal.RetryAfterMs.Or(0) > 0
	if !retryable {
		return actionGiveUp
	}
	if refusal.Verdict == callerapi.RefusalVerdictNotRun {
		return actionNewID
	}
	if refusal.Verdict == callerapi.RefusalVerdictMayHaveRun {
		return actionResend
	}
	return actionGiveUp
}

// retryAfter returns the delay before a retry that refusal names, or 0.
func retryAfter(refusal *callerapi.Refusal) time.Duration {
	return time.Duration(refusal.RetryAfterMs.Or(0)) * time.Millisecond
}

// VerdictOf converts a verdict of the API. An unknown one counts as may_have_run.
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
