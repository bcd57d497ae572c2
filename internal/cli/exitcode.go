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
	// ExitNoAnswer: nobody answered, and nothing was asked that could have an effect.
	ExitNoAnswer ExitCode = 1
	// ExitUsage: wrong use of the command line, or input at fault.
	ExitUsage ExitCode = 2
	// ExitNotRun: the request was refused or lost, and was not run.
	ExitNotRun ExitCode = 3
	// ExitMayHaveRun: the request was refused or lost, and may have run.
	ExitMayHaveRun ExitCode = 4
	// ExitRan: the request was run and has failed.
	ExitRan ExitCode = 5
	// ExitRefused: the change was refused.
	ExitRefused ExitCode = 6
	// ExitConflict: another change came first.
	ExitConflict ExitCode = 7
	// ExitUnknown: nobody can tell whether the change was made; send it again with its change ID.
	ExitUnknown ExitCode = 8
	// ExitNotAllowed: the token does not allow it.
	ExitNotAllowed ExitCode = 9
)

// exitOfResult follows the verdict of a request.
func exitOfResult(result *callerclient.Result) ExitCode {
	if result.Outcome == callerclient.OutcomeWhole {
		return ExitOK
	}
	if result.Refusal != nil {
		if exit, ok := exitOfCode(verdict.Code(result.Refusal.Code)); ok {
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

func exitOfCode(code verdict.Code) (ExitCode, bool) {
	switch code {
	case verdict.CodeBadInput, verdict.CodeTooLarge:
		return ExitUsage, true
	case verdict.CodeUnauthorized, verdict.CodeForbidden:
		return ExitNotAllowed, true
	}
	return 0, false
}

// exitOfOutcome follows the outcome of an operator's command.
func exitOfOutcome(outcome operatorapi.CommandResultOutcome) ExitCode {
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

func exitOfCommandError(code operatorapi.CommandErrorCode) ExitCode {
	switch code {
	case operatorapi.CommandErrorCodeBadCommand, operatorapi.CommandErrorCodeBadInput:
		return ExitUsage
	case operatorapi.CommandErrorCodeUnauthorized, operatorapi.CommandErrorCodeForbidden:
		return ExitNotAllowed
	case operatorapi.CommandErrorCodeNotFound, operatorapi.CommandErrorCodeNotAvailable, operatorapi.CommandErrorCodeInternal:
	}
	return ExitNoAnswer
}
