package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/testpause"
	"mangoledge.example/mangoledge/internal/verdict"
)

// ensureGrant gets the witness's grant for a non-idempotent request. If the witness
// does not answer, the request fails here for good, and each resend gets the same
// failure. If the witness refuses, this node releases the request, so that a resend
// finds the node that has the grant.
func (d *Dispatcher) ensureGrant(ctx context.Context, e *entry) *verdict.Error {
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
		d.releaseSuperseded(e)
		return verdict.New(verdict.MayHaveRun, verdict.CodeGrantTaken, "this node was not given the right to run this request")
	}
	e.setGranted()
	d.recordDecision(e.spec.ID, "granted", "by "+string(e.spec.ID.Witness))
	testpause.At(testpause.Granted)
	return nil
}

// confirmNotRun returns failure with a verdict that holds for all nodes: "not run" stays
// only if no upstream got the request and, for a non-idempotent one without a grant,
// the witness has voided it.
func (d *Dispatcher) confirmNotRun(e *entry, failure *verdict.Error) *verdict.Error {
	if e.wasDispatched() {
		return verdict.New(verdict.Ran, failure.Code, "%s", failure.Message).WithRetryAfter(failure.RetryAfter)
	}
	if e.spec.Idempotent || e.isGranted() {
		return failure
	}
	refusal := verdict.From(d.refuse(context.Background(), &e.spec, failure))
	if refusal.Verdict == verdict.MayHaveRun {
		return refusal.WithRetryAfter(0) // each resend gets the same failure
	}
	return refusal
}
