package dispatch

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// entry is the state of a request held by this node.
type entry struct {
	// spec is the accepted request. Its input is dropped once no worker runs the entry any more; others
	// compare it by sameWork.
	spec   request.Spec
	ticket Ticket
	// ctx ends when the request is cancelled, released or restarted.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	record request.Record
	// memory is what the input is charged to; nil if it isn't, or the input was dropped.
	memory Memory
	// inputDigest identifies the input once inputDropped is true.
	inputDigest  [sha256.Size]byte
	inputDropped bool
	// packed holds the tokens of a finished request once isPacked is true; the record
	// has none then.
	packed   request.PackedTokens
	isPacked bool
	// witnessed is true when the witness has a record with this node as holder.
	witnessed bool
	// granted is true when the witness allowed this node to run a non-idempotent request.
	granted bool
	// dispatched is true when an upstream may have started to run the request.
	dispatched bool
	// released is true when this node gave up the request so that another node can run it.
	released bool
	// redirected is true when followers are to be redirected after a release.
	redirected bool
	// reported is the number of tokens already reported to the witness.
	reported int
	// export is the KV cache for the next upstream to import, or nil.
	export *engine.KVImport
	// reserved is the placement kept for the next attempt, or nil.
	reserved Placement
	// begun is true once an engine has started to compute the request.
	begun bool
	// answer is what is reserved for a long answer, and turn is taken by the caller's request that sends it.
	answer answerMemory
	turn   chan struct{}
	// changed is closed and replaced at each change that followers need to see.
	changed chan struct{}
	// finished is when finish set the final phase; zero before.
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
		turn:     make(chan struct{}, 1),
		// An earlier holder may have sent an idempotent request to an upstream. For a
		// non-idempotent request the witness's grant tracks this.
		dispatched: record.Spec.Idempotent && (record.Upstream != "" || len(record.Tokens) > 0),
	}
}

// notifyFollowers wakes all followers; the caller holds e.mu.
func (e *entry) notifyFollowers() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// addToken appends the next token of the current generation; it ignores a token of
// another generation or offset, and any token after the request has ended or was released.
func (e *entry) addToken(generation ident.Generation, offset int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.record.Generation || offset != len(e.record.Tokens) || e.record.Phase.Final() || e.released {
		return
	}
	e.record.Tokens = append(e.record.Tokens, text)
	e.notifyFollowers()
}

// markDispatched records the upstream that the request is about to be sent to.
func (e *entry) markDispatched(upstream fleet.Upstream) {
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

// restoreDispatched resets dispatched after the upstream did not accept the request.
func (e *entry) restoreDispatched(dispatchedBefore bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatched = dispatchedBefore
}

// wasDispatched reports whether an upstream may have started to run the request.
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

// markBegun records that an engine computes the request, and reports whether one did before.
func (e *entry) markBegun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.begun || len(e.record.Tokens) > 0
	e.begun = true
	return before
}
