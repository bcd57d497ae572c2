package witness

import (
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// messageNotHeld is the refusal of a node that does not hold the table.
const messageNotHeld = "this node does not hold the witness table of %s"

// askAgainAfter is when a witness that did not answer may be asked again.
const askAgainAfter = 500 * time.Millisecond

// lost is the error for requests whose witness did not answer, and may answer later.
func lost(witness ident.Incarnation, cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, "the witness %s has not answered: %v", witness, cause).After(askAgainAfter)
}

// gone is the error for requests whose witness never answers again.
func gone(witness ident.Incarnation) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, "the witness %s: %v", witness, errGone)
}

func notHeld(witness ident.Incarnation) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, messageNotHeld, witness)
}

// classify gives an error of a table its verdict.
func classify(witness ident.Incarnation, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, grant.ErrForeign):
		return verdict.New(verdict.NotRun, verdict.CodeForbidden, "the request belongs to another workspace")
	case errors.Is(err, grant.ErrFull):
		return verdict.New(verdict.NotRun, verdict.CodePrefixExpired, "the witness %s takes no further non-idempotent requests", witness)
	case errors.Is(err, grant.ErrNotAdopted):
		return notHeld(witness)
	}
	return err
}
