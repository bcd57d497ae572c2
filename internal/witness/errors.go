package witness

import (
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// messageNotHeld is the refusal of a node that does not hold the table.
const messageNotHeld = "this node does not hold the witness table of %s"

// lost is the error for requests whose witness can't be asked any more.
func lost(witness ident.Incarnation, cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, "the witness %s has not answered: %v", witness, cause)
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
