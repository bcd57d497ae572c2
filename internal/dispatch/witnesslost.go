package dispatch

import (
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/verdict"
)

// witnessLost is the answer to a send whose witness can't tell who runs the
// request. It says when to come back for as long as that may bring another answer.
func (d *Dispatcher) witnessLost(id ident.RequestID, cause error) *verdict.Error {
	if d.neverDecided(id, cause) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost,
			"the witness of this ID is gone for good, so nobody can tell whether it was run; no resend finds out more")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost,
		"the witness of this ID can't be reached, so nobody can tell whether it was run; the same ID may be sent again").WithRetryAfter(resendDelay)
}

// notFound is the answer about a request that is not held here and whose witness
// failed with cause. homeAnswer is what its home said, nil when it was not asked.
// Once neither can ever tell more, the request is unknown for good.
func (d *Dispatcher) notFound(id ident.RequestID, homeAnswer, cause error) *verdict.Error {
	if d.neverKnown(id, homeAnswer, cause) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest,
			"the witness of this ID is gone for good and its home does not know it, so nobody can tell what became of it")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost,
		"neither home nor witness of this request can be reached").WithRetryAfter(resendDelay)
}

// neverKnown reports whether neither home nor witness can ever tell more about a
// request; homeAnswer and cause are as for notFound.
func (d *Dispatcher) neverKnown(id ident.RequestID, homeAnswer, cause error) bool {
	return d.neverDecided(id, cause) || (isUnknown(homeAnswer) && isWitnessGone(cause))
}

// isUnknown reports whether err is another node's word that it does not know a request.
func isUnknown(err error) bool {
	var refusal *verdict.Error
	return errors.As(err, &refusal) && refusal.Code == verdict.CodeUnknownRequest
}

// neverDecided reports whether no resend of a request that this node does not hold
// can bring another answer: its witness is gone, and its home is this node or has ended.
func (d *Dispatcher) neverDecided(id ident.RequestID, cause error) bool {
	return isWitnessGone(cause) && (id.Home == d.self || d.hasEnded(id.Home))
}

// isWitnessGone reports whether err says that the witness never answers again.
func isWitnessGone(err error) bool {
	var refusal *verdict.Error
	return errors.As(err, &refusal) && refusal.Code == verdict.CodeWitnessLost && refusal.RetryAfter == 0
}

// hasEnded reports whether the incarnation is known to be over.
func (d *Dispatcher) hasEnded(incarnation ident.Incarnation) bool {
	member, ok := d.options.Members.Lookup(incarnation)
	return ok && (member.State == membership.StateDead || member.State == membership.StateLeft)
}
