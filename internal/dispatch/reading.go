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

// attachTries is how often a broken stream is attached to again on a fresh
// connection before the request moves to another upstream.
const attachTries = 2

// reading is the reading of one generation's stream at one upstream, over one
// connection after the other. It belongs to one goroutine.
type reading struct {
	d          *Dispatcher
	ctx        context.Context //nolint:containedctx // a reading lasts as long as the call that made it
	e          *entry
	upstream   ident.Upstream
	base       string
	generation ident.Generation
	streamID   string
	pace       pace
	// prefill is what the first token waits for.
	prefill prefill
	// endedThere is true once the engine ended the stream itself. A stream of the same ID
	// that is there then belongs to another holder.
	endedThere bool
	// departure is nil until the upstream is seen to be leaving.
	departure *departure
}

// prefill is what an engine computes before its first token.
type prefill struct {
	begun time.Time
	// tokens is 0 when there is nothing to learn from it.
	tokens int
}

// newReading returns the reading of the stream of a generation, which must be the
// one that the engine was asked for: the request may have begun another since.
func (d *Dispatcher) newReading(ctx context.Context, e *entry, generation ident.Generation, upstream ident.Upstream, base string) *reading {
	return &reading{
		d: d, ctx: ctx, e: e, upstream: upstream, base: base,
		generation: generation, streamID: engine.StreamID(e.spec.ID, generation),
	}
}

// run reads stream to its end, attaches again when its connection breaks and
// that is the cheapest way, and gets it away when its upstream is leaving. It
// returns nil when the answer is whole.
func (r *reading) run(stream *engine.Stream) *verdict.Error {
	failure := r.readWithAttach(stream)
	p := r.departure
	if p == nil {
		return failure
	}
	if failure == nil {
		r.d.recovered(recovery.MethodStay, 0)
	}
	if failure != nil && r.ctx.Err() == nil && !r.e.view().released {
		p.keepPlace()
	}
	p.close()
	return failure
}

func (r *reading) readWithAttach(stream *engine.Stream) *verdict.Error {
	for tries := 0; ; tries++ {
		failure := r.read(stream)
		stream.Close()
		if failure == nil || r.ctx.Err() != nil {
			return failure
		}
		failure = r.afterBreak(failure)
		if failure.Code == codeMoving || tries == attachTries {
			return failure
		}
		again, err := r.d.options.Engines.Attach(r.ctx, r.base, r.streamID, len(r.e.snapshot().Tokens))
		if err != nil {
			r.d.note(r.e.spec.ID, "attach failed", err.Error())
			return forgottenBy(failure, verdict.From(err))
		}
		r.d.note(r.e.spec.ID, "attach", "again to "+string(r.upstream))
		r.d.recovered(recovery.MethodResume, 0)
		r.pace.interrupt()
		stream = again
	}
}

// read takes tokens from stream until its end, or until it goes on elsewhere.
func (r *reading) read(stream *engine.Stream) *verdict.Error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return verdict.From(err)
		}
		if chunk.Done {
			r.endedThere = true
			return r.d.streamEnd(r.e, r.generation, chunk)
		}
		r.e.addToken(r.generation, chunk.Offset, chunk.Text)
		now := time.Now()
		r.pace.token(now)
		r.learnPrefill(now)
		if seen := r.e.view(); seen.released || seen.record.Generation != r.generation {
			return verdict.New(verdict.Ran, codeMoving, "the request goes on elsewhere")
		}
		if r.mayLeave() && !r.leaving().goOn(now) {
			r.departure.left = true
			return verdict.New(verdict.Ran, codeMoving, "the upstream is leaving")
		}
	}
}

// mayLeave reports whether the stream may have to go on elsewhere, because its upstream is leaving.
func (r *reading) mayLeave() bool {
	return r.e.spec.Idempotent && r.d.options.Router.Leaving(r.upstream)
}

// leaving returns the stream's departure, which begins with the first call.
func (r *reading) leaving() *departure {
	if r.departure == nil {
		r.departure = &departure{reading: r}
	}
	return r.departure
}

// afterBreak decides about a stream that ended before its answer did. A failure
// of code codeMoving means that it goes on elsewhere, any other that it is to be
// attached to again.
func (r *reading) afterBreak(failure *verdict.Error) *verdict.Error {
	seen := r.e.view()
	if seen.released || seen.record.Generation != r.generation || !r.e.spec.Idempotent {
		return failure
	}
	if r.departure != nil && r.departure.takeExport() {
		return verdict.New(verdict.Ran, codeMoving, "the stream was exported")
	}
	if failure.Code == codeMoving {
		r.afterEnd()
		return failure
	}
	q := r.question(time.Now())
	plan := r.d.costs.choose(q, false)
	if q.source.Leaving {
		r.leaving().tell(q, plan)
	}
	if plan.Method != recovery.MethodPrefill {
		return failure
	}
	r.cancelStream()
	return verdict.New(verdict.Ran, codeMoving, "the upstream is leaving: %s", failure.Message)
}

// afterEnd saves what can be saved of a stream that was ended or given up.
func (r *reading) afterEnd() {
	if r.mayLeave() && r.leaving().exportEnded() {
		return
	}
	if !r.endedThere {
		r.cancelStream()
	}
}

// cancelStream stops a stream that goes on elsewhere without its cache, and does
// not wait for it.
func (r *reading) cancelStream() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.d.options.Engines.Cancel(ctx, r.base, r.streamID)
	}()
}

// learnPrefill learns from the time to the first token.
func (r *reading) learnPrefill(now time.Time) {
	if r.prefill.tokens == 0 {
		return
	}
	waited := now.Sub(r.prefill.begun)
	computing := max(waited/2, waited-admission.TypicalTokenLatency)
	r.d.costs.prefilled(r.e.spec.Model, r.prefill.tokens, computing)
	r.prefill.tokens = 0
}
