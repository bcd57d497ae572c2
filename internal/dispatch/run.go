package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// firstRetryDelay is the pause before a request is tried at a second upstream.
	firstRetryDelay = 10 * time.Millisecond
	// maxRetryDelay bounds the pause between two tries.
	maxRetryDelay = 400 * time.Millisecond
	// rememberedFailures is how many failed upstreams a request avoids.
	rememberedFailures = 8
)

// run is one worker's work on one request, to its final phase or its release.
func (d *Dispatcher) run(e *entry) {
	defer e.ticket.Release()
	ctx, cancel := context.WithDeadline(e.ctx, e.spec.Deadline)
	defer cancel()
	failure := d.runToEnd(ctx, e)
	switch {
	case failure == nil:
		d.conclude(e, request.PhaseDone, nil)
	case e.view().released:
		d.note(e.spec.ID, "release", "the request goes on at another node")
	default:
		d.conclude(e, request.PhaseFailed, failure)
	}
}

// runToEnd tries upstreams until one has run the request to its end. It
// returns nil then, and the final failure otherwise.
func (d *Dispatcher) runToEnd(ctx context.Context, e *entry) *verdict.Error {
	if failure, ended := d.reattach(ctx, e); ended {
		return failure
	}
	need := Need{Spec: &e.spec}
	delay := firstRetryDelay
	for {
		if ctx.Err() != nil || e.view().released {
			return d.timeFailure(e)
		}
		need.Tokens = len(e.snapshot().Tokens)
		placement, err := d.options.Router.Pick(ctx, &need)
		if err != nil {
			refusal := verdict.From(err)
			if refusal.RetryAfter <= 0 {
				return d.settleNotRun(e, refusal)
			}
			pause(ctx, refusal.RetryAfter)
			continue
		}
		if failure := d.ensureGranted(ctx, e); failure != nil {
			placement.Done(OutcomeMoved)
			return failure
		}
		failure := d.try(ctx, e, placement)
		if failure == nil {
			return nil
		}
		if !d.mayRetry(e, failure) {
			return failure
		}
		need.Attempt++
		need.Avoid = remember(need.Avoid, placement.Upstream().ID)
		pause(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// mayRetry reports whether the request may be sent to an upstream once more.
func (d *Dispatcher) mayRetry(e *entry, failure *verdict.Error) bool {
	if failure.Code == verdict.CodeBadInput {
		return false
	}
	return e.spec.Idempotent || failure.Verdict == verdict.NotRun
}

// try runs the request at one upstream and gives the placement back.
func (d *Dispatcher) try(ctx context.Context, e *entry, placement Placement) *verdict.Error {
	upstream := placement.Upstream()
	before := e.wasDispatched()
	e.place(upstream)
	d.note(e.spec.ID, "dispatch", "to "+string(upstream.ID))
	var failure *verdict.Error
	if e.spec.Service != "" {
		failure = d.callService(ctx, e, upstream.URL)
	} else {
		failure = d.runAtEngine(ctx, e, placement)
	}
	switch {
	case failure == nil:
		placement.Done(OutcomeDone)
		return nil
	case failure.Verdict == verdict.NotRun:
		e.undo(before)
		placement.Done(OutcomeRefused)
	case failure.Code == codeMoving || ctx.Err() != nil:
		placement.Done(OutcomeMoved)
	default:
		placement.Done(OutcomeFailed)
	}
	if failure.Code == verdict.CodeStopping {
		d.options.Router.MarkLeaving(upstream.ID)
	}
	d.note(e.spec.ID, "upstream failed", string(upstream.ID)+": "+failure.Error())
	return failure
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

// ensureGranted gets the right to run a non-idempotent request.
func (d *Dispatcher) ensureGranted(ctx context.Context, e *entry) *verdict.Error {
	if e.spec.Idempotent || e.granted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Grant(ctx, &grant.Request{ID: e.spec.ID, Holder: d.self, Epoch: e.snapshot().Epoch})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeWitnessLost, "the witness did not grant the request in time").After(resendDelay)
	}
	if !reply.Granted {
		return verdict.New(verdict.MayHaveRun, verdict.CodeGrantTaken, "another node was given the right to run this request").After(resendDelay)
	}
	e.granted = true
	d.note(e.spec.ID, "granted", "by "+string(e.spec.ID.Witness))
	pauseForTest()
	return nil
}

// settleNotRun makes a failure before any dispatch true for all nodes.
func (d *Dispatcher) settleNotRun(e *entry, failure *verdict.Error) *verdict.Error {
	if e.wasDispatched() {
		return verdict.New(verdict.Ran, failure.Code, "%s", failure.Message).After(failure.RetryAfter)
	}
	if e.spec.Idempotent || e.granted {
		return failure
	}
	return verdict.From(d.refuse(context.Background(), &e.spec, failure))
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

// remember appends upstream and keeps the last few.
func remember(avoid []ident.Upstream, upstream ident.Upstream) []ident.Upstream {
	avoid = append(avoid, upstream)
	if len(avoid) > rememberedFailures {
		avoid = avoid[1:]
	}
	return avoid
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
