package dispatch

import (
	"context"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// assumedNotice is the notice of an upstream that is leaving when nobody has said when it goes.
	assumedNotice = 2 * time.Second
	// replanInterval is the time between two plans for a stream on a leaving upstream.
	replanInterval = 50 * time.Millisecond
	// callTime is the time of a small call of an upstream.
	callTime = 2 * time.Millisecond
)

// departure gets one stream away from an upstream that is leaving, or lets it
// stay there. The stream is read on until its cache leaves or another upstream
// has a place for it. It belongs to the goroutine that reads the stream; the
// place and the export come to it by channels.
//
// Invariants: an export begins only when the request has a place elsewhere; a
// place that is not used is given back; a failed export is not tried again.
type departure struct {
	*reading
	// method is what was last chosen, or empty.
	method recovery.Method
	// next is when to plan again.
	next time.Time
	// asked yields a place or nil once; nil while nobody was asked.
	asked    chan Placement
	stopAsk  context.CancelFunc
	target   Placement
	exported chan exportResult
	stopExp  context.CancelFunc
	// noExport is true once an export has failed.
	noExport bool
	// left is true once the stream was given up for another upstream.
	left bool
}

// exportResult is how an export ended.
type exportResult struct {
	export *engine.KVExport
	err    error
}

// goOn looks at the stream after one more token and reports whether it may be read on.
func (p *departure) goOn(now time.Time) bool {
	p.lookAtExport()
	if p.exported != nil {
		return true
	}
	if !p.lookAtPlace() && now.Before(p.next) {
		return true
	}
	p.next = now.Add(replanInterval)
	q := p.question(now)
	plan := p.d.costs.choose(q, p.target != nil)
	p.tell(q, plan)
	switch plan.Method {
	case recovery.MethodTransfer:
		if p.target != nil {
			p.beginExport(q)
			return true
		}
	case recovery.MethodPrefill:
		if p.target != nil {
			return false
		}
	case recovery.MethodStay, recovery.MethodResume:
		p.giveBack()
		return true
	}
	p.ask()
	return q.source.Assumed || q.source.Notice > recovery.NoticeMargin
}

// question asks how the stream is to go on.
func (r *reading) question(now time.Time) *question {
	record := r.e.snapshot()
	q := &question{
		upstream: r.upstream,
		model:    r.e.spec.Model,
		stream: recovery.Stream{
			PromptTokens: r.e.spec.PromptTokens(),
			Generated:    len(record.Tokens),
			Remaining:    max(0, r.e.spec.MaxTokens-len(record.Tokens)),
		},
		source: recovery.Source{Reachable: true, PerToken: r.pace.perToken()},
		target: recovery.Target{Imports: true, RoundTrip: callTime},
	}
	q.source.Leaving = r.d.options.Router.Leaving(r.upstream)
	if !q.source.Leaving {
		return q
	}
	at := r.d.reclaimAt(r.upstream)
	q.source.Assumed = at.IsZero()
	q.source.Notice = assumedNotice
	if !at.IsZero() {
		q.source.Notice = max(0, at.Sub(now))
		q.source.Reachable = q.source.Notice > 0
	}
	p := r.departure
	q.source.Exports = q.stream.Generated > 0 && (p == nil || !p.noExport)
	if p != nil && p.target != nil {
		q.target.CachedTokens = p.target.CachedTokens()
	}
	return q
}

// tell notes a plan when it is another way than before.
func (p *departure) tell(q *question, plan recovery.Plan) {
	if p.method == plan.Method {
		return
	}
	p.method = plan.Method
	p.d.note(p.e.spec.ID, "recovery", q.note(plan))
}

// ask has a place found elsewhere, once.
func (p *departure) ask() {
	if p.asked != nil {
		return
	}
	ctx, stop := context.WithCancel(p.ctx)
	asked := make(chan Placement, 1)
	p.asked, p.stopAsk = asked, stop
	need := &Need{Spec: &p.e.spec, Tokens: len(p.e.snapshot().Tokens), Avoid: []ident.Upstream{p.upstream}, Attempt: 1}
	go func() { asked <- p.d.placeElsewhere(ctx, need) }()
}

// placeElsewhere asks for a place until there is one; nil when there will be none.
func (d *Dispatcher) placeElsewhere(ctx context.Context, need *Need) Placement {
	for ctx.Err() == nil {
		placement, err := d.options.Router.Pick(ctx, need)
		if err == nil {
			return placement
		}
		refusal := verdict.From(err)
		if refusal.RetryAfter <= 0 {
			return nil
		}
		wait.For(ctx, refusal.RetryAfter)
	}
	return nil
}

// lookAtPlace takes over a place that was found meanwhile and reports whether there was one.
func (p *departure) lookAtPlace() bool {
	if p.asked == nil || p.target != nil {
		return false
	}
	select {
	case p.target = <-p.asked:
	default:
		return false
	}
	if p.target == nil {
		p.dropSearch()
	}
	return p.target != nil
}

// giveBack ends the search for a place and gives back the one that was found.
func (p *departure) giveBack() {
	if p.target != nil {
		p.target.Done(OutcomeMoved, 0)
	} else if p.asked != nil {
		p.stopAsk()
		go giveBackWhenFound(p.asked)
	}
	p.dropSearch()
}

func giveBackWhenFound(asked <-chan Placement) {
	if placement := <-asked; placement != nil {
		placement.Done(OutcomeMoved, 0)
	}
}

func (p *departure) dropSearch() {
	if p.stopAsk != nil {
		p.stopAsk()
	}
	p.target, p.asked, p.stopAsk = nil, nil, nil
}

// keepPlace leaves the place that was found to the request's next attempt.
func (p *departure) keepPlace() {
	if p.lookAtPlace(); p.target == nil {
		p.giveBack()
		return
	}
	p.e.reserve(p.target)
	p.dropSearch()
}

// beginExport has the cache exported while the stream is read on.
func (p *departure) beginExport(q *question) {
	ctx, stop := context.WithTimeout(p.ctx, q.source.Notice)
	exported := make(chan exportResult, 1)
	p.exported, p.stopExp = exported, stop
	bytes, alone := q.stream.KVBytes, q.source.Ahead == 0
	go func() {
		begun := time.Now()
		export, err := p.d.options.Engines.Export(ctx, p.base, p.streamID)
		p.d.costs.exportEnded(p.upstream, bytes)
		if err == nil {
			tokens := p.e.spec.PromptTokens() + len(export.Tokens)
			p.d.costs.exported(q.model, tokens, export.Bytes, time.Since(begun), alone)
		}
		exported <- exportResult{export: export, err: err}
	}()
}

// lookAtExport notes an export that has failed while the stream went on. One
// that succeeded ends the stream, and is taken when that is read.
func (p *departure) lookAtExport() {
	if p.exported == nil {
		return
	}
	select {
	case result := <-p.exported:
		if result.err == nil {
			p.exported <- result
			return
		}
		p.exportFailed(result.err)
	default:
	}
}

func (p *departure) exportFailed(err error) {
	p.stopExp()
	p.exported = nil
	p.noExport = true
	p.next = time.Time{}
	p.d.note(p.e.spec.ID, "export failed", err.Error())
}

// exportEnded has the cache exported of a stream that was ended, but not given up, by this node.
func (p *departure) exportEnded() bool {
	if p.left || p.noExport {
		return false
	}
	q := p.question(time.Now())
	if !q.source.Exports || !q.source.Reachable {
		return false
	}
	p.d.costs.exportBegun(q)
	p.beginExport(q)
	return p.takeExport()
}

// takeExport waits for the export that is under way, if one is, and takes in its
// tokens. It reports whether the cache is ready for another upstream.
func (p *departure) takeExport() bool {
	if p.exported == nil {
		return false
	}
	result := <-p.exported
	if result.err != nil {
		p.exportFailed(result.err)
		return false
	}
	p.stopExp()
	p.exported = nil
	if seen := p.e.view(); seen.released || seen.record.Generation != p.generation {
		return false
	}
	for offset := len(p.e.snapshot().Tokens); offset < len(result.export.Tokens); offset++ {
		p.e.addToken(p.generation, offset, result.export.Tokens[offset])
	}
	p.e.setExport(&engine.KVImport{Handle: result.export.Handle, Source: p.base})
	p.d.note(p.e.spec.ID, "export", strconv.Itoa(len(result.export.Tokens))+" tokens with their cache")
	return true
}

// close ends what is under way for a stream that needs it no more.
func (p *departure) close() {
	if p.stopExp != nil {
		p.stopExp()
	}
	p.giveBack()
}
