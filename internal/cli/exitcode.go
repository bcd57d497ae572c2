package cli

import (
	"mangoledge.example/mangoledge/api/operatorapi"
	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/verdict"
)

// ExitCode is the exit code of a command.
type ExitCode int

// The exit codes.
const (
	// ExitOK: a whole answer, an accepted change, or rows shown.
	ExitOK ExitCode = 0
	// ExitNoAnswer: no node answered, and the command can have had no effect.
	ExitNoAnswer ExitCode = 1
	// ExitUsage: wrong use of the command line, or invalid input.
	ExitUsage ExitCode = 2
	// ExitNotRun: the request was refused or lost, and was not run.
	ExitNotRun ExitCode = 3
	// ExitMayHaveRun: the request was refused or lost, and may have run.
	ExitMayHaveRun ExitCode = 4
	// ExitRan: the request was run and failed.
	ExitRan ExitCode = 5
	// ExitRefused: the change was refused.
	ExitRefused ExitCode = 6
	// ExitConflict: another change came first.
	ExitConflict ExitCode = 7
	// ExitUnknown: the change may or may not have been made; send it again with its change ID.
	ExitUnknown ExitCode = 8
	// ExitNotAllowed: the token does not permit the command.
	ExitNotAllowed ExitCode = 9
)

// exitCodeOfResult returns the exit code for the result of a request. Refusals for bad input
// or a token have their own codes; otherwise it depends on the verdict.
func exitCodeOfResult(result *callerclient.Result) ExitCode {
	if result.Outcome == callerclient.OutcomeComplete {
		return ExitOK
	}
	if result.Refusal != nil {
		if exit, ok := exitCodeOfRefusal(verdict.Code(result.Refusal.Code)); ok {
			return exit
		}
	}
	switch result.Verdict {
	case verdict.NotRun:
		return ExitNotRun
	case verdict.Ran:
		return ExitRan
	case verdict.MayHaveRun:
	}
	return ExitMayHaveRun
}

// exitCodeOfRefusal returns the exit code for a refusal's code, or false if the code has none
// of its own.
func exitCodeOfRefusal(code verdict.Code) (ExitCode, bool) {
	switch code {
	case verdict.CodeBadInput, verdict.CodeTooLarge:
		return ExitUsage, true
	case verdict.CodeUnauthorized, verdict.CodeForbidden:
		return ExitNotAllowed, true
	}
	return 0, false
}

// exitCodeOfOutcome returns the exit code for the outcome of an operator's command.
func exitCodeOfOutcome(outcome operatorapi.CommandResultOutcome) ExitCode {
	switch outcome {
	case operatorapi.CommandResultOutcomeNone, operatorapi.CommandResultOutcomeAccepted:
		return ExitOK
	case operatorapi.CommandResultOutcomeRefused:
		return ExitRefused
	case operatorapi.CommandResultOutcomeConflict:
		return ExitConflict
	case operatorapi.CommandResultOutcomeUnknown:
	}
	return ExitUnknown
}

// exitCodeOfCommandError returns the exit code for an error of the operator API.
func exitCodeOfCommandError(code operatorapi.CommandErrorCode) ExitCode {
	switch code {
	case operatorapi.CommandErrorCodeBadCommand, operatorapi.CommandErrorCodeBadInput:
		return ExitUsage
	case operatorapi.CommandErrorCodeUnauthorized, operatorapi.CommandErrorCodeForbidden:
		return ExitNotAllowed
	case operatorapi.CommandErrorCodeNotFound, operatorapi.CommandErrorCodeNotAvailable, operatorapi.CommandErrorCodeInternal:
	}
	return ExitNoAnswer
}
