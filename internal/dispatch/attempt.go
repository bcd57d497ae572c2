package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/verdict"
)

// probeTimeout limits the call that checks whether an upstream still answers.
const probeTimeout = 300 * time.Millisecond

// attempt runs the request once, at the placement's upstream, and releases
// placement and pass.
func (d *Dispatcher) attempt(ctx context.Context, e *entry, placement Placement, pass Pass) *verdict.Error {
	upstream := placement.Upstream()
	before := e.wasDispatched()
	e.markDispatched(upstream)
	d.recordDecision(e.spec.ID, "dispatch", "to "+string(upstream.ID))
	var failure *verdict.Error
	var perToken time.Duration
	if e.spec.Service != "" {
		failure = d.callService(ctx, e, upstream.URL)
	} else {
		failure, perToken = d.runAtEngine(ctx, e, placement)
	}
	if failure == nil {
		placement.Release(OutcomeDone, perToken)
		pass.Release(upstream.ID, EndingFinished)
		return nil
	}
	if failure.Verdict == verdict.NotRun {
		e.restoreDispatched(before)
	}
	if failure.Code == verdict.CodeStopping {
		d.options.Router.MarkLeaving(upstream.ID)
	}
	ending := d.endingOf(ctx, e, placement, failure)
	placement.Release(outcomeOf(ctx, failure, ending), perToken)
	pass.Release(upstream.ID, ending)
	d.recordDecision(e.spec.ID, "upstream failed", string(upstream.ID)+": "+failure.Error())
	return failure
}

// outcomeOf classifies a failed attempt for the router.
func outcomeOf(ctx context.Context, failure *verdict.Error, ending Ending) Outcome {
	switch {
	case ending == EndingCrashed:
		return OutcomeCrashed
	case failure.Verdict == verdict.NotRun:
		return OutcomeRefused
	case failure.Code == codeMoving || ctx.Err() != nil:
		return OutcomeMoved
	}
	return OutcomeFailed
}

// endingOf classifies a failed attempt for the guard. The engine counts as crashed
// when the connection broke and the engine no longer answers, or no longer knows the
// stream. An engine that is leaving, or that stalled but still answers, has not crashed.
func (d *Dispatcher) endingOf(ctx context.Context, e *entry, placement Placement, failure *verdict.Error) Ending {
	upstream := placement.Upstream()
	notCrash := failure.Verdict == verdict.NotRun || failure.Code == codeMoving || failure.Code == engine.CodeSilent
	if notCrash || e.spec.Service != "" || ctx.Err() != nil || d.options.Router.Leaving(upstream.ID) {
		return EndingOther
	}
	if failure.Code == codeStreamUnknown {
		return EndingCrashed
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := d.options.Engines.ReportLoad(ctx, upstream.URL); err != nil {
		return EndingCrashed
	}
	return EndingOther
}

// callService calls a plain service and stores its reply as the request's output.
func (d *Dispatcher) callService(ctx context.Context, e *entry, base string) *verdict.Error {
	reply, err := d.options.Services.Call(ctx, base, e.spec.ID.String(), e.spec.Input, e.spec.Idempotent)
	if err != nil {
		return verdict.From(err)
	}
	e.setOutput(reply)
	return nil
}
