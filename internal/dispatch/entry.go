package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// entry is a request that this node holds.
type entry struct {
	spec   request.Spec
	ticket Ticket
	// ctx ends when the request is cancelled, released or restarted.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	record request.Record
	// packed are the tokens of a request that has ended, once isPacked is true; the
	// record has none then.
	packed   request.PackedTokens
	isPacked bool
	// witnessed is true when the witness has a record under this holder.
	witnessed bool
	// granted is true when this holder may run a non-idempotent request.
	granted bool
	// dispatched is true when an upstream may have begun to run the request.
	dispatched bool
	// released is true when the request was given up for another node.
	released bool
	// moved is true when followers are to be sent away after a release.
	moved bool
	// reported is the number of tokens that the witness knows.
	reported int
	// export is the cache that the next upstream is to import, or nil.
	export *engine.KVImport
	// reserved is the place that the next attempt has already, or nil.
	reserved Placement
	// begun is true once an engine has begun to compute the request.
	begun    bool
	changed  chan struct{}
	finished time.Time
}

func newEntry(record request.Record, ticket Ticket) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	record.Tokens = slices.Clone(record.Tokens)
	return &entry{
		spec:     record.Spec,
		ticket:   ticket,
		ctx:      ctx,
		cancel:   cancel,
		record:   record,
		reported: len(record.Tokens),
		changed:  make(chan struct{}),
		// Another holder may have sent it to an upstream before. Of one that is not
		// idempotent the witness knows by its grant.
		dispatched: record.Spec.Idempotent && (record.Upstream != "" || len(record.Tokens) > 0),
	}
}

// snapshot returns the record as it is now; its tokens must not be changed.
func (e *entry) snapshot() request.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current()
}

// current returns the record with its tokens; e.mu is held.
func (e *entry) current() request.Record {
	out := e.record
	if e.isPacked {
		out.Tokens = e.packed.Tokens()
	}
	return out
}

// pack puts the tokens of a request that has ended into little memory.
func (e *entry) pack() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isPacked || !e.record.Phase.Final() {
		return
	}
	e.packed = request.PackTokens(e.record.Tokens)
	e.record.Tokens = nil
	e.isPacked = true
}

// isReleased reports whether the request was given up for another node.
func (e *entry) isReleased() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.released
}

// inProgress reports whether the request is still to end here.
func (e *entry) inProgress() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.record.Phase.Final() && !e.released
}

// wake wakes all followers; e.mu is held.
func (e *entry) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// addToken appends the token at offset of generation; others are passed over.
func (e *entry) addToken(generation ident.Generation, offset int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.record.Generation || offset != len(e.record.Tokens) || e.record.Phase.Final() || e.released {
		return
	}
	e.record.Tokens = append(e.record.Tokens, text)
	e.wake()
}

// place notes where the request runs now.
func (e *entry) place(upstream fleet.Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Upstream != "" && e.record.Upstream != upstream.ID {
		e.record.Moves++
	}
	e.record.Upstream = upstream.ID
	e.record.UpstreamURL = upstream.URL
	e.record.Phase = request.PhaseRunning
	e.dispatched = true
}

// undo notes that the upstream did not take the request after all.
func (e *entry) undo(dispatchedBefore bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatched = dispatchedBefore
}

// fork begins a new generation behind the tokens that are there.
func (e *entry) fork(generation ident.Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forkLocked(generation)
}

func (e *entry) forkLocked(generation ident.Generation) {
	forks := slices.Clone(e.record.Forks)
	for i := range forks {
		forks[i].Offset = min(forks[i].Offset, len(e.record.Tokens))
	}
	e.record.Forks = append(forks, request.Fork{Generation: e.record.Generation, Offset: len(e.record.Tokens)})
	e.record.Generation = generation
	e.record.Moves++
	e.record.Upstream = ""
	e.record.UpstreamURL = ""
	e.reported = 0
	e.wake()
}

// adopt goes on behind the tokens that the caller holds. It reports false when
// the request has already ended.
func (e *entry) adopt(position Position, generation ident.Generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Phase.Final() {
		return false
	}
	e.record.Tokens = slices.Clone(position.Received)
	e.record.Generation = position.Generation
	e.record.Forks = nil
	e.forkLocked(generation)
	return true
}

// finish sets the final phase; it reports false when there was one already.
func (e *entry) finish(phase request.Phase, failure *verdict.Error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Phase.Final() || e.released {
		return false
	}
	e.record.Phase = phase
	e.record.Failure = failure
	e.finished = time.Now()
	e.wake()
	return true
}

// release gives the request up for another node; it reports false when there is
// nothing to give up. Followers are not told yet.
func (e *entry) release() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Phase.Final() || e.released {
		return false
	}
	if !e.spec.Idempotent && (e.dispatched || e.granted) {
		return false
	}
	e.released = true
	return true
}

// sendAway ends the following of a released request.
func (e *entry) sendAway() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moved = true
	e.wake()
}

// view is what a follower sees at one moment.
type view struct {
	record   request.Record
	released bool
	moved    bool
	changed  <-chan struct{}
}

func (e *entry) view() view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{record: e.current(), released: e.released, moved: e.moved, changed: e.changed}
}

// wasDispatched reports whether an upstream may have begun to run the request.
func (e *entry) wasDispatched() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatched
}

func (e *entry) setGranted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.granted = true
}

func (e *entry) isGranted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.granted
}

// takeExport returns the cache that the next upstream is to import, once.
func (e *entry) takeExport() *engine.KVImport {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.export
	e.export = nil
	return out
}

func (e *entry) setExport(export *engine.KVImport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.export = export
}

func (e *entry) hasExport() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.export != nil
}

// reserve keeps a place for the next attempt, in place of one that was kept before.
func (e *entry) reserve(placement Placement) {
	e.mu.Lock()
	before := e.reserved
	e.reserved = placement
	e.mu.Unlock()
	if before != nil {
		before.Done(OutcomeMoved, 0)
	}
}

// takeReserved returns the place that was kept for this attempt, or nil.
func (e *entry) takeReserved() Placement {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.reserved
	e.reserved = nil
	return out
}

// begin notes that an engine computes the request, and reports whether one did before.
func (e *entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.begun || len(e.record.Tokens) > 0
	e.begun = true
	return before
}
