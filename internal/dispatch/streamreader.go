package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/verdict"
)

// maxReattaches is how often a broken stream is attached to again on a new connection
// before the request moves to another upstream.
const maxReattaches = 2

// streamReader reads the stream of one generation at one upstream, over one or more
// connections in sequence. It is used by one goroutine only.
type streamReader struct {
	d        *Dispatcher
	ctx      context.Context //nolint:containedctx // a streamReader lives as long as the call that created it
	e        *entry
	upstream ident.Upstream
	// base is the URL of the upstream.
	base       string
	generation ident.Generation
	streamID   string
	latency    tokenLatency
	// prefill is the prefill before the first token.
	prefill prefill
	// endedByEngine is true once the engine ended the stream itself. A stream with the
	// same ID at the engine belongs to another holder then, and must not be cancelled.
	endedByEngine bool
	// migration is nil until the upstream is known to be leaving.
	migration *migration
}

// prefill describes the prefill before the first token of a stream.
type prefill struct {
	begun time.Time
	// tokens is 0 when the prefill is no sample for the cost model.
	tokens int
}

// newStreamReader returns a reader for the stream of a generation. This must be the
// generation that the engine was asked for: the request may have a newer one by now.
func (d *Dispatcher) newStreamReader(ctx context.Context, e *entry, generation ident.Generation, upstream ident.Upstream, base string) *streamReader {
	return &streamReader{
		d: d, ctx: ctx, e: e, upstream: upstream, base: base,
		generation: generation, streamID: engine.StreamID(e.spec.ID, generation),
	}
}

// run reads stream to its end. It attaches again when the connection breaks and that is
// the cheapest way to continue, and migrates the stream when its upstream is leaving. It
// returns nil when the answer is complete.
func (r *streamReader) run(stream *engine.Stream) *verdict.Error {
	failure := r.readWithReattach(stream)
	m := r.migration
	if m == nil {
		return failure
	}
	if failure == nil {
		r.d.countRecovery(recovery.MethodStay, 0)
	}
	if failure != nil && r.ctx.Err() == nil && !r.e.view().released {
		m.reservePlacement()
	}
	m.close()
	return failure
}

// readWithReattach reads stream and attaches again after a broken connection, at most
// maxReattaches times.
func (r *streamReader) readWithReattach(stream *engine.Stream) *verdict.Error {
	for tries := 0; ; tries++ {
		failure := r.read(stream)
		stream.Close()
		if failure == nil || r.ctx.Err() != nil {
			return failure
		}
		failure = r.handleBreak(failure)
		if failure.Code == codeMoving || tries == maxReattaches {
			return failure
		}
		again, err := r.d.options.Engines.Attach(r.ctx, r.base, r.streamID, len(r.e.snapshot().Tokens))
		if err != nil {
			r.d.recordDecision(r.e.spec.ID, "attach failed", err.Error())
			return withStreamUnknown(failure, verdict.From(err))
		}
		r.d.recordDecision(r.e.spec.ID, "attach", "again to "+string(r.upstream))
		r.d.countRecovery(recovery.MethodResume, 0)
		r.latency.skipGap()
		stream = again
	}
}

// read reads tokens from stream until its end, or until the request continues elsewhere.
func (r *streamReader) read(stream *engine.Stream) *verdict.Error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return verdict.From(err)
		}
		if chunk.Done {
			r.endedByEngine = true
			return r.d.checkStreamEnd(r.e, r.generation, chunk)
		}
		r.e.addToken(r.generation, chunk.Offset, chunk.Text)
		now := time.Now()
		r.latency.observe(now)
		r.observePrefill(now)
		if seen := r.e.view(); seen.released || seen.record.Generation != r.generation {
			return verdict.New(verdict.Ran, codeMoving, "the request goes on elsewhere")
		}
		if r.mayMigrate() && !r.ensureMigration().keepReading(now) {
			r.migration.abandoned = true
			return verdict.New(verdict.Ran, codeMoving, "the upstream is leaving")
		}
	}
}

// mayMigrate reports whether the stream may have to move because its upstream is leaving.
func (r *streamReader) mayMigrate() bool {
	return r.e.spec.Idempotent && r.d.options.Router.Leaving(r.upstream)
}

// ensureMigration returns the stream's migration and creates it at the first call.
func (r *streamReader) ensureMigration() *migration {
	if r.migration == nil {
		r.migration = &migration{streamReader: r}
	}
	return r.migration
}

// handleBreak decides how to continue a stream that ended before its answer did. A
// returned failure with codeMoving means that the request continues elsewhere; after any
// other failure the reader attaches again.
func (r *streamReader) handleBreak(failure *verdict.Error) *verdict.Error {
	seen := r.e.view()
	if seen.released || seen.record.Generation != r.generation || !r.e.spec.Idempotent {
		return failure
	}
	if r.migration != nil && r.migration.awaitExport() {
		return verdict.New(verdict.Ran, codeMoving, "the stream was exported")
	}
	if failure.Code == codeMoving {
		r.exportOrCancel()
		return failure
	}
	q := r.collectPlanInputs(time.Now())
	plan := r.d.costs.choosePlan(q, false)
	if q.source.Leaving {
		r.ensureMigration().recordPlan(q, plan)
	}
	if plan.Method != recovery.MethodPrefill {
		return failure
	}
	r.cancelStream()
	return verdict.New(verdict.Ran, codeMoving, "the upstream is leaving: %s", failure.Message)
}

// exportOrCancel exports the KV cache of a stream that was ended or abandoned, if
// possible; otherwise it cancels a stream that the engine has not ended.
func (r *streamReader) exportOrCancel() {
	if r.mayMigrate() && r.ensureMigration().exportEndedStream() {
		return
	}
	if !r.endedByEngine {
		r.cancelStream()
	}
}

// cancelStream cancels, in the background, a stream whose request continues elsewhere
// without its KV cache.
func (r *streamReader) cancelStream() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.d.options.Engines.Cancel(ctx, r.base, r.streamID)
	}()
}

// observePrefill updates the cost model from the time to the first token. Of that time
// it subtracts the typical time of one token, but at most half of the whole.
func (r *streamReader) observePrefill(now time.Time) {
	if r.prefill.tokens == 0 {
		return
	}
	waited := now.Sub(r.prefill.begun)
	computing := max(waited/2, waited-admission.TypicalTokenLatency)
	r.d.costs.observePrefill(r.e.spec.Model, r.prefill.tokens, computing)
	r.prefill.tokens = 0
}
