package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/verdict"
)

// probeTimeout bounds the call that tells whether an upstream is still there.
const probeTimeout = 300 * time.Millisecond

// try runs the request at one upstream and gives placement and pass back.
func (d *Dispatcher) try(ctx context.Context, e *entry, placement Placement, pass Pass) *verdict.Error {
	upstream := placement.Upstream()
	before := e.wasDispatched()
	e.place(upstream)
	d.note(e.spec.ID, "dispatch", "to "+string(upstream.ID))
	var failure *verdict.Error
	var perToken time.Duration
	if e.spec.Service != "" {
		failure = d.callService(ctx, e, upstream.URL)
	} else {
		failure, perToken = d.runAtEngine(ctx, e, placement)
	}
	if failure == nil {
		placement.Done(OutcomeDone, perToken)
		pass.Leave(upstream.ID, EndingFinished)
		return nil
	}
	if failure.Verdict == verdict.NotRun {
		e.undo(before)
	}
	if failure.Code == verdict.CodeStopping {
		d.options.Router.MarkLeaving(upstream.ID)
	}
	ending := d.endingOf(ctx, e, placement, failure)
	placement.Done(outcomeOf(ctx, failure, ending), perToken)
	pass.Leave(upstream.ID, ending)
	d.note(e.spec.ID, "upstream failed", string(upstream.ID)+": "+failure.Error())
	return failure
}

// outcomeOf tells the router how a failed attempt ended.
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

// endingOf tells whether an engine crashed under the request: its connection
// broke, and it does not answer any more or has forgotten the stream. One that is
// leaving, or that went silent and still answers, did not.
func (d *Dispatcher) endingOf(ctx context.Context, e *entry, placement Placement, failure *verdict.Error) Ending {
	upstream := placement.Upstream()
	innocent := failure.Verdict == verdict.NotRun || failure.Code == codeMoving || failure.Code == engine.CodeSilent
	if innocent || e.spec.Service != "" || ctx.Err() != nil || d.options.Router.Leaving(upstream.ID) {
		return EndingOther
	}
	if failure.Code == codeForgotten {
		return EndingCrashed
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := d.options.Engines.ReportLoad(ctx, upstream.URL); err != nil {
		return EndingCrashed
	}
	return EndingOther
}

// callService runs a plain service's call.
func (d *Dispatcher) callService(ctx context.Context, e *entry, base string) *verdict.Error {
	reply, err := d.options.Services.Call(ctx, base, e.spec.ID.String(), e.spec.Input, e.spec.Idempotent)
	if err != nil {
		return verdict.From(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Output = reply
	return nil
}
