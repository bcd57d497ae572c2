package dispatch

import (
	"context"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// codeMoving marks the end of a stream that goes on at another upstream. Callers never see it: see forCaller.
const codeMoving verdict.Code = "moving"

// codeForgotten marks the failure of a stream that its engine knows no more.
// Callers never see it: see forCaller.
const codeForgotten verdict.Code = "forgotten"

// runAtEngine runs the request at an engine, behind the tokens that are there. It
// returns also the mean time between the tokens that came, or 0.
func (d *Dispatcher) runAtEngine(ctx context.Context, e *entry, placement Placement) (*verdict.Error, time.Duration) {
	upstream := placement.Upstream()
	imported := false
	if export := e.takeExport(); export != nil {
		imported = d.importKV(ctx, e, upstream, *export)
	}
	record := e.snapshot()
	begun := time.Now()
	stream, err := d.options.Engines.Start(ctx, upstream.URL, completionOf(&record), e.spec.Idempotent)
	if err != nil {
		return verdict.From(err), 0
	}
	tokens := max(0, e.spec.EstimatePromptTokens()+len(record.Tokens)-placement.CachedTokens())
	r := d.newReading(ctx, e, record.Generation, upstream.ID, upstream.URL)
	again := e.begin()
	switch {
	case imported:
		d.recovered(recovery.MethodTransfer, 0)
	case again:
		d.recovered(recovery.MethodPrefill, tokens)
		d.note(e.spec.ID, "prefill", "about "+strconv.Itoa(tokens)+" tokens at "+string(upstream.ID))
	}
	if !imported {
		r.prefill = prefill{begun: begun, tokens: tokens}
	}
	return r.run(stream), r.pace.mean
}

// recovered counts how a stream went on, and the tokens computed again for it.
func (d *Dispatcher) recovered(method recovery.Method, recomputed int) {
	if d.options.Recoveries != nil {
		d.options.Recoveries.Recovered(method, recomputed)
	}
}

// reclaimAt returns when an upstream is taken away; zero while nobody has said.
func (d *Dispatcher) reclaimAt(upstream ident.Upstream) time.Time {
	if d.options.Reclaims == nil {
		return time.Time{}
	}
	return d.options.Reclaims.ReclaimAt(upstream)
}

// completionOf is the call that goes on behind the tokens of record.
func completionOf(record *request.Record) *engine.Completion {
	return &engine.Completion{
		RequestID:  engine.StreamID(record.Spec.ID, record.Generation),
		Model:      record.Spec.Model,
		Adapter:    record.Spec.Adapter,
		Prompt:     record.Spec.Input,
		Prefix:     record.Tokens,
		Generation: record.Generation,
		MaxTokens:  record.Spec.MaxTokens,
		Priority:   int(urgencyOf(record)),
		Stream:     true,
	}
}

// urgencyOf is the priority at the engine's own queue: what the caller's priority
// is worth was decided when the request had its turn. It follows the deadline, so
// that nothing which arrives later starves a request that waits there.
func urgencyOf(record *request.Record) request.Urgency {
	left := record.Spec.MaxTokens - len(record.Tokens)
	return request.UrgencyOf(record.Spec.Deadline, time.Duration(left)*admission.TypicalTokenLatency)
}

// forgottenBy marks the failure of a stream that its engine knows no more,
// because the engine was started anew.
func forgottenBy(failure, attach *verdict.Error) *verdict.Error {
	if attach.Code != verdict.CodeUnknownRequest {
		return failure
	}
	out := *failure
	out.Code = codeForgotten
	return &out
}

// streamEnd checks that the end of a stream is the end of the answer.
func (d *Dispatcher) streamEnd(e *entry, generation ident.Generation, chunk engine.Chunk) *verdict.Error {
	record := e.snapshot()
	if chunk.Exported {
		return verdict.New(verdict.Ran, codeMoving, "the stream was exported or replaced")
	}
	if record.Generation != generation || chunk.Tokens != len(record.Tokens) {
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine ended after %d tokens, of which %d came", chunk.Tokens, len(record.Tokens))
	}
	return nil
}

// reattach goes on with a stream that an earlier holder left at its engine. It
// reports whether the request has ended with that.
func (d *Dispatcher) reattach(ctx context.Context, e *entry) (*verdict.Error, bool) {
	record := e.snapshot()
	if record.UpstreamURL == "" || e.spec.Service != "" || !e.spec.Idempotent {
		return nil, false
	}
	started := time.Now()
	stream, err := d.options.Engines.Attach(ctx, record.UpstreamURL, engine.StreamID(e.spec.ID, record.Generation), len(record.Tokens))
	if err == nil {
		d.note(e.spec.ID, "attach", "to the stream at "+string(record.Upstream))
		d.recovered(recovery.MethodResume, 0)
		e.begin()
		failure := d.newReading(ctx, e, record.Generation, record.Upstream, record.UpstreamURL).run(stream)
		if failure == nil {
			return nil, true
		}
		err = failure
	}
	if ctx.Err() != nil {
		return d.timeFailure(e), true
	}
	// The earlier holder's callers may hold more tokens than came here; only an
	// export is sure to have them all.
	if now := e.view(); now.record.Generation == record.Generation && !now.released && !e.hasExport() {
		e.fork(newGeneration(e.spec.ID, now.record.Epoch))
	}
	d.note(e.spec.ID, "attach failed", err.Error()+" after "+time.Since(started).Round(time.Millisecond).String())
	return nil, false
}
