package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// budgetPause is the time between two looks whether the budget allows a retry.
	budgetPause = 200 * time.Millisecond
	// rememberedFailures is how many failed upstreams a request avoids.
	rememberedFailures = 8
)

// run is one worker's work on one request, to its final phase or its release.
func (d *Dispatcher) run(e *entry) {
	ctx, cancel := context.WithDeadline(e.ctx, e.spec.Deadline)
	defer cancel()
	failure := d.waitTurn(ctx, e)
	if failure == nil {
		failure = d.runToEnd(ctx, e)
	}
	e.reserve(nil)
	e.ticket.Release(failure == nil)
	switch {
	case failure == nil:
		d.conclude(e, request.PhaseDone, nil)
	case e.isReleased():
		d.note(e.spec.ID, "release", "the request goes on at another node")
	default:
		d.conclude(e, request.PhaseFailed, forCaller(failure))
	}
}

// waitTurn waits until the request may ask for an upstream. It returns the
// failure of a request that was shed or ran out of time.
func (d *Dispatcher) waitTurn(ctx context.Context, e *entry) *verdict.Error {
	select {
	case <-e.ticket.Turn():
	case <-ctx.Done():
		return d.timeFailure(e)
	}
	if refusal := e.ticket.Refusal(); refusal != nil {
		d.note(e.spec.ID, "shed", refusal.Message)
		return d.settleNotRun(e, refusal)
	}
	return nil
}

// runToEnd tries upstreams until one has run the request to its end. It
// returns nil then, and the final failure otherwise.
func (d *Dispatcher) runToEnd(ctx context.Context, e *entry) *verdict.Error {
	d.options.Budget.Attempt()
	if failure, ended := d.reattach(ctx, e); ended {
		return failure
	}
	need := Need{Spec: &e.spec}
	idleMoves := 0
	for {
		if ctx.Err() != nil || e.isReleased() {
			return d.timeFailure(e)
		}
		need.Tokens = len(e.snapshot().Tokens)
		placement, pass, refusal := d.findPlace(ctx, e, &need)
		if refusal != nil {
			if overdue := overdueOf(e); overdue != nil {
				return d.settleNotRun(e, overdue)
			}
			if refusal.RetryAfter <= 0 {
				return d.settleNotRun(e, refusal)
			}
			wait.For(ctx, refusal.RetryAfter)
			continue
		}
		e.ticket.Placed()
		if failure := d.ensureGranted(ctx, e); failure != nil {
			placement.Done(OutcomeMoved, 0)
			pass.Leave("", EndingOther)
			return failure
		}
		failure := d.try(ctx, e, placement, pass)
		if failure == nil {
			return nil
		}
		if !mayRetry(e, failure) {
			return failure
		}
		if failure.Code != codeMoving || len(e.snapshot().Tokens) > need.Tokens {
			idleMoves = 0
		} else {
			idleMoves++
		}
		need.Attempt++
		need.Avoid = remember(need.Avoid, placement.Upstream().ID)
		d.beforeRetry(ctx, e, need.Attempt, idleMoves, failure)
	}
}

// overdueOf returns why a request that was sent to no upstream is given up now, or nil.
func overdueOf(e *entry) *verdict.Error {
	if e.wasDispatched() {
		return nil
	}
	return e.ticket.Overdue()
}

// findPlace gets a pass for the content and a place at an upstream. A request
// that was sent to none yet looks for one until its latest start at most.
func (d *Dispatcher) findPlace(ctx context.Context, e *entry, need *Need) (Placement, Pass, *verdict.Error) {
	need.LatestStart = time.Time{}
	if !e.wasDispatched() {
		need.LatestStart = e.ticket.LatestStart()
		bounded, cancel := context.WithDeadline(ctx, need.LatestStart)
		defer cancel()
		ctx = bounded
	}
	placement, err := d.pick(ctx, e, need)
	if err != nil {
		return nil, nil, verdict.From(err)
	}
	pass, err := d.options.Guard.Enter(ctx, &e.spec)
	if err != nil {
		placement.Done(OutcomeMoved, 0)
		return nil, nil, verdict.From(err)
	}
	return placement, pass, nil
}

// pick returns the place that was kept for the request while it can be used, else a new one.
func (d *Dispatcher) pick(ctx context.Context, e *entry, need *Need) (Placement, error) {
	kept := e.takeReserved()
	if kept == nil {
		return d.options.Router.Pick(ctx, need)
	}
	if d.options.Router.Leaving(kept.Upstream().ID) {
		kept.Done(OutcomeMoved, 0)
		return d.options.Router.Pick(ctx, need)
	}
	return kept, nil
}

// timeFailure is the failure of a request whose time is up, or that was cancelled.
func (d *Dispatcher) timeFailure(e *entry) *verdict.Error {
	if e.ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "the request was cancelled")
	}
	return d.settleNotRun(e, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline passed before an upstream could run the request"))
}

// conclude sets the final phase and reports it. Of a non-idempotent request
// the witness knows the result before the caller does.
func (d *Dispatcher) conclude(e *entry, phase request.Phase, failure *verdict.Error) {
	if !e.spec.Idempotent {
		d.reportFinal(e, phase, failure)
	}
	if !e.finish(phase, failure) {
		phase = e.snapshot().Phase
		d.stopUpstream(e)
	}
	if e.spec.Idempotent || phase == request.PhaseCancelled {
		d.reportFinal(e, phase, e.snapshot().Failure)
	}
	e.pack()
	d.note(e.spec.ID, string(phase), failureText(failure))
}

// stopUpstream ends a cancelled request's stream.
func (d *Dispatcher) stopUpstream(e *entry) {
	record := e.snapshot()
	if record.UpstreamURL == "" || e.spec.Service != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = d.options.Engines.Cancel(ctx, record.UpstreamURL, engine.StreamID(e.spec.ID, record.Generation))
}

func failureText(failure *verdict.Error) string {
	if failure == nil {
		return "whole answer"
	}
	return failure.Error()
}
