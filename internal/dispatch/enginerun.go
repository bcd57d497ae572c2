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

// codeMoving marks the end of a stream whose request continues elsewhere. It is
// internal: callerFailure replaces it.
const codeMoving verdict.Code = "moving"

// codeStreamUnknown marks the failure of a stream that its engine no longer knows.
// It is internal: callerFailure replaces it.
const codeStreamUnknown verdict.Code = "forgotten"

// runAtEngine runs the request at an engine, starting after the tokens received so
// far. It also returns the mean time between tokens, or 0 when it is unknown.
func (d *Dispatcher) runAtEngine(ctx context.Context, e *entry, placement Placement) (*verdict.Error, time.Duration) {
	upstream := placement.Upstream()
	imported := false
	if export := e.takeExport(); export != nil {
		imported = d.importKV(ctx, e, upstream, *export)
	}
	record := e.snapshot()
	started := time.Now()
	stream, err := d.options.Engines.Start(ctx, upstream.URL, completionOf(&record), e.spec.Idempotent)
	if err != nil {
		return verdict.From(err), 0
	}
	tokens := max(0, e.spec.EstimatePromptTokens()+len(record.Tokens)-placement.CachedTokens())
	r := d.newStreamReader(ctx, e, record.Generation, upstream.ID, upstream.URL)
	again := e.markBegun()
	switch {
	case imported:
		d.countRecovery(recovery.MethodTransfer, 0)
	case again:
		d.countRecovery(recovery.MethodPrefill, tokens)
		d.recordDecision(e.spec.ID, "prefill", "about "+strconv.Itoa(tokens)+" tokens at "+string(upstream.ID))
	}
	if !imported {
		r.prefill = prefill{begun: started, tokens: tokens}
	}
	return r.run(stream), r.latency.mean
}

// countRecovery counts a continued stream by method, and the tokens recomputed for it.
func (d *Dispatcher) countRecovery(method recovery.Method, recomputed int) {
	if d.options.RecoveryCounter != nil {
		d.options.RecoveryCounter.Recovered(method, recomputed)
	}
}

// reclaimAt returns when an upstream's host is reclaimed; zero when it is unknown.
func (d *Dispatcher) reclaimAt(upstream ident.Upstream) time.Time {
	if d.options.ReclaimTimes == nil {
		return time.Time{}
	}
	return d.options.ReclaimTimes.ReclaimAt(upstream)
}

// completionOf returns the engine call that continues after the tokens of record.
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

// urgencyOf returns the priority in the engine's own queue. The caller's priority was
// already applied in the admission queue. The engine priority follows the deadline, so
// that later arrivals can't starve a request that waits there.
func urgencyOf(record *request.Record) request.Urgency {
	remaining := record.Spec.MaxTokens - len(record.Tokens)
	return request.UrgencyOf(record.Spec.Deadline, time.Duration(remaining)*admission.TypicalTokenLatency)
}

// withStreamUnknown returns failure with codeStreamUnknown when the attach error says
// that the engine does not know the stream, because it has restarted.
func withStreamUnknown(failure, attach *verdict.Error) *verdict.Error {
	if attach.Code != verdict.CodeUnknownRequest {
		return failure
	}
	out := *failure
	out.Code = codeStreamUnknown
	return &out
}

// checkStreamEnd returns nil when the end of a stream is the end of the answer.
func (d *Dispatcher) checkStreamEnd(e *entry, generation ident.Generation, chunk engine.Chunk) *verdict.Error {
	record := e.snapshot()
	if chunk.Exported {
		return verdict.New(verdict.Ran, codeMoving, "the stream was exported or replaced")
	}
	if record.Generation != generation || chunk.Tokens != len(record.Tokens) {
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine ended after %d tokens, of which %d came", chunk.Tokens, len(record.Tokens))
	}
	return nil
}

// reattach continues a stream that an earlier holder left running at its engine. The
// bool is true when the request has ended and no further attempt follows.
func (d *Dispatcher) reattach(ctx context.Context, e *entry) (*verdict.Error, bool) {
	record := e.snapshot()
	if record.UpstreamURL == "" || e.spec.Service != "" || !e.spec.Idempotent {
		return nil, false
	}
	started := time.Now()
	stream, err := d.options.Engines.Attach(ctx, record.UpstreamURL, engine.StreamID(e.spec.ID, record.Generation), len(record.Tokens))
	if err == nil {
		d.recordDecision(e.spec.ID, "attach", "to the stream at "+string(record.Upstream))
		d.countRecovery(recovery.MethodResume, 0)
		e.markBegun()
		failure := d.newStreamReader(ctx, e, record.Generation, record.Upstream, record.UpstreamURL).run(stream)
		if failure == nil {
			return nil, true
		}
		err = failure
	}
	if ctx.Err() != nil {
		return d.contextFailure(e), true
	}
	// Callers of the earlier holder may have more tokens than this node received; only
	// an export is certain to contain them all. Without one, start a new generation.
	if now := e.view(); now.record.Generation == record.Generation && !now.released && !e.hasExport() {
		e.fork(newGeneration(e.spec.ID, now.record.Epoch))
	}
	d.recordDecision(e.spec.ID, "attach failed", err.Error()+" after "+time.Since(started).Round(time.Millisecond).String())
	return nil, false
}
