package dispatch

import (
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/verdict"
)

// errWitnessLost is the refusal of a submission whose witness can't tell which node runs
// the request. It has a RetryAfter for as long as a resend may get another answer.
func (d *Dispatcher) errWitnessLost(id ident.RequestID, cause error) *verdict.Error {
	if d.isPermanentlyUndecided(id, cause) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost,
			"the witness of this ID is gone for good, so nobody can tell whether it was run; no resend finds out more")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost,
		"the witness of this ID can't be reached, so nobody can tell whether it was run; the same ID may be sent again").WithRetryAfter(resendDelay)
}

// errNotFound is the refusal for a request that is not held here and whose witness failed
// with cause. homeErr is the error from its home, nil if the home was not asked. Once
// neither can ever answer, the request is permanently unknown.
func (d *Dispatcher) errNotFound(id ident.RequestID, homeErr, cause error) *verdict.Error {
	if d.isPermanentlyUnknown(id, homeErr, cause) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest,
			"the witness of this ID is gone for good and its home does not know it, so nobody can tell what became of it")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost,
		"neither home nor witness of this request can be reached").WithRetryAfter(resendDelay)
}

// isPermanentlyUnknown reports whether neither home nor witness can ever tell more about
// a request; homeErr and cause are as for errNotFound.
func (d *Dispatcher) isPermanentlyUnknown(id ident.RequestID, homeErr, cause error) bool {
	return d.isPermanentlyUndecided(id, cause) || (isUnknownRequest(homeErr) && isWitnessGone(cause))
}

// isUnknownRequest reports whether err is another node's answer that it does not know the
// request.
func isUnknownRequest(err error) bool {
	var refusal *verdict.Error
	return errors.As(err, &refusal) && refusal.Code == verdict.CodeUnknownRequest
}

// isPermanentlyUndecided reports whether no resend of a request that this node does not
// hold can get another answer: its witness is gone, and its home is this node or has ended.
func (d *Dispatcher) isPermanentlyUndecided(id ident.RequestID, cause error) bool {
	return isWitnessGone(cause) && (id.Home == d.self || d.hasEnded(id.Home))
}

// isWitnessGone reports whether err means that the witness will never answer again.
func isWitnessGone(err error) bool {
	var refusal *verdict.Error
	return errors.As(err, &refusal) && refusal.Code == verdict.CodeWitnessLost && refusal.RetryAfter == 0
}

// hasEnded reports whether the incarnation is known to be dead or to have left.
func (d *Dispatcher) hasEnded(incarnation ident.Incarnation) bool {
	member, ok := d.options.Members.Lookup(incarnation)
	return ok && (member.State == membership.StateDead || member.State == membership.StateLeft)
}
