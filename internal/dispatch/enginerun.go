package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// codeMoving marks the end of a stream that goes on at another upstream. Callers never see it: see forCaller.
const codeMoving verdict.Code = "moving"

// codeForgotten marks the failure of a stream that its engine knows no more.
// Callers never see it: see forCaller.
const codeForgotten verdict.Code = "forgotten"

// attachTries is how often a broken stream is attached to again on a fresh
// connection before the request moves to another upstream.
const attachTries = 2

// runAtEngine runs the request at an engine, behind the tokens that are there.
func (d *Dispatcher) runAtEngine(ctx context.Context, e *entry, placement Placement) *verdict.Error {
	upstream := placement.Upstream()
	if export := e.takeExport(); export != nil {
		d.importKV(ctx, e, upstream, *export)
	}
	record := e.snapshot()
	stream, err := d.options.Engines.Start(ctx, upstream.URL, completionOf(&record), e.spec.Idempotent)
	if err != nil {
		return verdict.From(err)
	}
	return d.readWithAttach(ctx, e, upstream.ID, upstream.URL, stream)
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
// is worth was decided when the request had its turn.
func urgencyOf(record *request.Record) request.Priority {
	left := record.Spec.MaxTokens - len(record.Tokens)
	return admission.Urgency(time.Now(), record.Spec.Deadline, time.Duration(left)*admission.TypicalPace)
}

// readWithAttach reads stream to its end, and attaches again when its connection breaks.
func (d *Dispatcher) readWithAttach(ctx context.Context, e *entry, upstream ident.Upstream, base string, stream *engine.Stream) *verdict.Error {
	generation := e.snapshot().Generation
	streamID := engine.StreamID(e.spec.ID, generation)
	for tries := 0; ; tries++ {
		failure := d.read(e, upstream, generation, stream)
		stream.Close()
		if failure != nil && failure.Code == codeMoving && d.options.Router.Leaving(upstream) {
			d.exportKV(ctx, e, generation, base)
		}
		if failure == nil || failure.Code == codeMoving || ctx.Err() != nil || tries == attachTries {
			return failure
		}
		again, err := d.options.Engines.Attach(ctx, base, streamID, len(e.snapshot().Tokens))
		if err != nil {
			d.note(e.spec.ID, "attach failed", err.Error())
			return forgottenBy(failure, verdict.From(err))
		}
		d.note(e.spec.ID, "attach", "again to "+string(upstream))
		stream = again
	}
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

// read takes tokens from stream until its end.
func (d *Dispatcher) read(e *entry, upstream ident.Upstream, generation ident.Generation, stream *engine.Stream) *verdict.Error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return verdict.From(err)
		}
		if chunk.Done {
			return d.streamEnd(e, generation, chunk)
		}
		e.addToken(generation, chunk.Offset, chunk.Text)
		if now := e.view(); now.released || now.record.Generation != generation {
			return verdict.New(verdict.Ran, codeMoving, "the request goes on elsewhere")
		}
		if e.spec.Idempotent && d.options.Router.Leaving(upstream) {
			return verdict.New(verdict.Ran, codeMoving, "the upstream is leaving")
		}
	}
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
		failure := d.readWithAttach(ctx, e, record.Upstream, record.UpstreamURL, stream)
		if failure == nil {
			return nil, true
		}
		err = failure
	}
	if ctx.Err() != nil {
		return d.timeFailure(e), true
	}
	if now := e.snapshot(); now.Generation == record.Generation && verdict.From(err).Code != codeMoving {
		e.fork(newGeneration(e.spec.ID, now.Epoch))
	}
	d.note(e.spec.ID, "attach failed", err.Error()+" after "+time.Since(started).Round(time.Millisecond).String())
	return nil, false
}
