package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/testpause"
	"mangoledge.example/mangoledge/internal/verdict"
)

// ensureGranted gets the right to run a non-idempotent request. Without an answer
// of the witness the request ends here, and every resend would find just that end.
// When the witness refuses, the request is given up, so that a resend finds whose it is.
func (d *Dispatcher) ensureGranted(ctx context.Context, e *entry) *verdict.Error {
	if e.spec.Idempotent || e.isGranted() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Grant(ctx, &grant.Request{ID: e.spec.ID, Holder: d.self, Epoch: e.snapshot().Epoch})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, "the witness did not grant the request in time, so it was given up")
	}
	if !reply.Granted {
		d.superseded(e)
		return verdict.New(verdict.MayHaveRun, verdict.CodeGrantTaken, "this node was not given the right to run this request")
	}
	e.setGranted()
	d.note(e.spec.ID, "granted", "by "+string(e.spec.ID.Witness))
	testpause.At(testpause.Granted)
	return nil
}

// settleNotRun makes a failure before any dispatch true for all nodes.
func (d *Dispatcher) settleNotRun(e *entry, failure *verdict.Error) *verdict.Error {
	if e.wasDispatched() {
		return verdict.New(verdict.Ran, failure.Code, "%s", failure.Message).WithRetryAfter(failure.RetryAfter)
	}
	if e.spec.Idempotent || e.isGranted() {
		return failure
	}
	refusal := verdict.From(d.refuse(context.Background(), &e.spec, failure))
	if refusal.Verdict == verdict.MayHaveRun {
		return refusal.WithRetryAfter(0) // every resend would find this end
	}
	return refusal
}
