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
	// retryBudgetInterval is how often a refused retry asks the retry policy again.
	retryBudgetInterval = 200 * time.Millisecond
	// maxAvoided is the maximum number of recently tried upstreams that a request avoids.
	maxAvoided = 8
)

// run processes one request in a worker, until its final phase or its release.
func (d *Dispatcher) run(e *entry) {
	defer e.dropInput()
	e.useAnswer(nil)
	defer e.leaveAnswer()
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
		d.recordDecision(e.spec.ID, "release", "the request goes on at another node")
	default:
		d.conclude(e, request.PhaseFailed, callerFailure(failure))
	}
}

// waitTurn waits until admission lets the request ask for an upstream. It returns a
// failure if the request was shed or cancelled, or its deadline passed.
func (d *Dispatcher) waitTurn(ctx context.Context, e *entry) *verdict.Error {
	select {
	case <-e.ticket.Turn():
	case <-ctx.Done():
		return d.contextFailure(e)
	}
	if refusal := e.ticket.Refusal(); refusal != nil {
		d.recordDecision(e.spec.ID, "shed", refusal.Message)
		return d.confirmNotRun(e, refusal)
	}
	return nil
}

// runToEnd tries upstreams until one has completed the request. It returns nil then, and
// the final failure otherwise.
func (d *Dispatcher) runToEnd(ctx context.Context, e *entry) *verdict.Error {
	d.options.Budget.Attempt()
	if failure, ended := d.reattach(ctx, e); ended {
		return failure
	}
	req := PlacementRequest{Spec: &e.spec}
	idleMoves := 0
	for {
		if ctx.Err() != nil || e.isReleased() {
			return d.contextFailure(e)
		}
		req.Tokens = len(e.snapshot().Tokens)
		placement, pass, refusal := d.acquirePlacement(ctx, e, &req)
		if refusal != nil {
			if overdue := overdueFailure(e); overdue != nil {
				return d.confirmNotRun(e, overdue)
			}
			if refusal.RetryAfter <= 0 {
				return d.confirmNotRun(e, refusal)
			}
			wait.For(ctx, refusal.RetryAfter)
			continue
		}
		e.ticket.Placed()
		if failure := d.ensureGrant(ctx, e); failure != nil {
			placement.Release(OutcomeMoved, 0)
			pass.Release("", EndingOther)
			return failure
		}
		failure := d.attempt(ctx, e, placement, pass)
		if failure == nil {
			return nil
		}
		if !mayRetry(e, failure) {
			return failure
		}
		if failure.Code != codeMoving || len(e.snapshot().Tokens) > req.Tokens {
			idleMoves = 0
		} else {
			idleMoves++
		}
		req.Attempt++
		req.Avoid = appendAvoided(req.Avoid, placement.Upstream().ID)
		d.beforeRetry(ctx, e, req.Attempt, idleMoves, failure)
	}
}

// overdueFailure returns why a request that was never dispatched is given up now, or nil.
func overdueFailure(e *entry) *verdict.Error {
	if e.wasDispatched() {
		return nil
	}
	return e.ticket.OverdueRefusal()
}

// acquirePlacement gets a placement at an upstream and the guard's pass for the content.
// For a request that was never dispatched, the search ends at its latest start.
func (d *Dispatcher) acquirePlacement(ctx context.Context, e *entry, req *PlacementRequest) (Placement, Pass, *verdict.Error) {
	req.LatestStart = time.Time{}
	if !e.wasDispatched() {
		req.LatestStart = e.ticket.LatestStart()
		bounded, cancel := context.WithDeadline(ctx, req.LatestStart)
		defer cancel()
		ctx = bounded
	}
	placement, err := d.pick(ctx, e, req)
	if err != nil {
		return nil, nil, verdict.From(err)
	}
	pass, err := d.options.Guard.Acquire(ctx, &e.spec)
	if err != nil {
		placement.Release(OutcomeMoved, 0)
		return nil, nil, verdict.From(err)
	}
	return placement, pass, nil
}

// pick returns the placement reserved for the request if it is still usable, or else a
// new one from the router.
func (d *Dispatcher) pick(ctx context.Context, e *entry, req *PlacementRequest) (Placement, error) {
	reserved := e.takeReserved()
	if reserved == nil {
		return d.options.Router.Pick(ctx, req)
	}
	if d.options.Router.Leaving(reserved.Upstream().ID) {
		reserved.Release(OutcomeMoved, 0)
		return d.options.Router.Pick(ctx, req)
	}
	return reserved, nil
}

// contextFailure returns the failure of a request whose context has ended: it was
// cancelled or released, or its deadline passed.
func (d *Dispatcher) contextFailure(e *entry) *verdict.Error {
	if e.ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "the request was cancelled")
	}
	return d.confirmNotRun(e, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline passed before an upstream could run the request"))
}

// conclude sets the final phase and reports it. The result of a non-idempotent request
// is reported to the witness before the caller gets it.
func (d *Dispatcher) conclude(e *entry, phase request.Phase, failure *verdict.Error) {
	if !e.spec.Idempotent {
		d.reportFinal(e, phase, failure)
	}
	if !e.finish(phase, failure) {
		phase = e.snapshot().Phase
		d.cancelAtUpstream(e)
	}
	if e.spec.Idempotent || phase == request.PhaseCancelled {
		d.reportFinal(e, phase, e.snapshot().Failure)
	}
	e.pack()
	if answer, ended := e.kept(); ended {
		d.kept.Add(answer.Bytes)
	}
	d.recordDecision(e.spec.ID, string(phase), failureText(failure))
}

// cancelAtUpstream cancels the stream of a request at its upstream.
func (d *Dispatcher) cancelAtUpstream(e *entry) {
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
