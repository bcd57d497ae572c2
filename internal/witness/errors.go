package witness

import (
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// notHeldFormat is the message of a node that does not hold the table.
const notHeldFormat = "this node does not hold the witness table of %s"

// unreachableRetryAfter is the delay after which a witness that did not answer may
// be called again.
const unreachableRetryAfter = 500 * time.Millisecond

// witnessUnreachable is the error for a witness that did not answer and may answer later.
func witnessUnreachable(witness ident.Incarnation, cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, "the witness %s has not answered: %v", witness, cause).WithRetryAfter(unreachableRetryAfter)
}

// witnessGone is the error for a witness that will never answer again.
func witnessGone(witness ident.Incarnation) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, "the witness %s: %v", witness, errTableGone)
}

// tableNotHeld is the error of a node that does not hold the table of witness.
func tableNotHeld(witness ident.Incarnation) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, notHeldFormat, witness)
}

// withVerdict converts an error of a table to a *verdict.Error where the verdict is known.
func withVerdict(witness ident.Incarnation, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, grant.ErrWrongWorkspace):
		return verdict.New(verdict.NotRun, verdict.CodeForbidden, "the request belongs to another workspace")
	case errors.Is(err, grant.ErrFull):
		return verdict.New(verdict.NotRun, verdict.CodePrefixExpired, "the witness %s takes no further non-idempotent requests", witness)
	case errors.Is(err, grant.ErrNoMemory):
		return verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "no memory for the request at its witness; this send was not run, the same ID may be sent again").WithRetryAfter(unreachableRetryAfter)
	case errors.Is(err, grant.ErrNotInstalled):
		return tableNotHeld(witness)
	}
	return err
}
