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

// begin notes that an engine computes the request, and reports whether one did before.
func (e *entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.begun || len(e.record.Tokens) > 0
	e.begun = true
	return before
}
