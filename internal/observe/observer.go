// Package observe polls the upstreams that this node owns for their load and for the events
// of their prefix caches, and updates the owner's routing table with the results.
//
// An upstream that does not answer gets no new work until it answers again.
//
// Invariants: only the owner polls an upstream, so that the number of calls grows with the
// number of upstreams and not with the number of nodes. A poll that fails does not change the
// recorded load, since the owner itself counts the requests in flight.
//
// Lock order: Observer.mu is a leaf.
package observe

import (
	"context"
	"strconv"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// pollTimeout bounds the calls of one poll of an upstream, taken together.
	pollTimeout = 700 * time.Millisecond
	// maxParallelPolls is how many upstreams are polled concurrently.
	maxParallelPolls = 8
	// passesPerEventPoll is the number of passes from one poll of an upstream's cache events
	// to the next. It need not be 1, since engines report these events with a delay anyway.
	passesPerEventPoll = 3
	// blockHashRadix is the radix of block hashes in cache events.
	blockHashRadix = 16
	// blockHashBits is the size of a block hash in bits.
	blockHashBits = 64
)

// Engines calls the engines behind upstreams; *engine.Client implements it.
type Engines interface {
	ReportLoad(ctx context.Context, base string) (*engine.Load, error)
	ReportCacheEvents(ctx context.Context, base string, since uint64) (*engine.CacheEvents, error)
}

// Observer polls the upstreams that a ledger owns.
type Observer struct {
	ledger  *owner.Ledger
	engines Engines

	mu sync.Mutex
	// passCount is the number of passes begun.
	passCount uint64
	cursors   map[ident.Upstream]eventCursor
}

// eventCursor is how far the cache events of one upstream have been read.
type eventCursor struct {
	// nextEvent is the sequence number of the next event, and polledAtPass the pass of the
	// last poll that succeeded.
	nextEvent    uint64
	polledAtPass uint64
}

// New returns an observer of the upstreams that ledger owns.
func New(ledger *owner.Ledger, engines Engines) *Observer {
	return &Observer{ledger: ledger, engines: engines, cursors: make(map[ident.Upstream]eventCursor)}
}

// Poll polls every owned upstream once for its load, and those that are due for their cache
// events.
func (o *Observer) Poll(ctx context.Context) {
	owned := o.ledger.Owned()
	o.beginPass(owned)
	queue := make(chan owner.OwnedUpstream, len(owned))
	for _, upstream := range owned {
		queue <- upstream
	}
	close(queue)
	var done sync.WaitGroup
	for range min(maxParallelPolls, len(owned)) {
		done.Go(func() {
			for upstream := range queue {
				o.pollUpstream(ctx, upstream)
			}
		})
	}
	done.Wait()
}

// pollUpstream polls one upstream. Plain services implement neither call.
func (o *Observer) pollUpstream(ctx context.Context, upstream owner.OwnedUpstream) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := time.Now()
	load, err := o.engines.ReportLoad(ctx, upstream.URL)
	o.ledger.Table().SetReachable(upstream.ID, isReachable(err))
	if err != nil {
		return
	}
	o.ledger.Table().RecordLoad(upstream.ID, routing.Load{Running: load.Running, Waiting: load.Waiting, MeasuredAt: asked})
	since, due := o.nextEvent(upstream.ID)
	if !due {
		return
	}
	events, err := o.engines.ReportCacheEvents(ctx, upstream.URL, since)
	if err != nil {
		return
	}
	o.ledger.Table().ApplyCacheEvents(time.Now(), upstream.ID, decodeEvents(events.Events))
	o.storeCursor(upstream.ID, events.Next)
}

// isReachable reports whether err shows that an upstream answered, even if only that it does
// not know the call, as plain services do.
func isReachable(err error) bool {
	return err == nil || verdict.From(err).Code == verdict.CodeUnknownRequest
}

// decodeEvents converts an engine's cache events for the routing table. Events whose block
// hash cannot be parsed are skipped.
func decodeEvents(in []engine.CacheEvent) []routing.CacheEvent {
	out := make([]routing.CacheEvent, 0, len(in))
	for _, event := range in {
		block, err := strconv.ParseUint(event.Block, blockHashRadix, blockHashBits)
		if err != nil {
			continue
		}
		op := routing.CacheAdd
		if event.Op == engine.CacheRemove {
			op = routing.CacheRemove
		}
		out = append(out, routing.CacheEvent{Op: op, Block: routing.Block(block)})
	}
	return out
}

// nextEvent returns the sequence number from which to request an upstream's cache events, and
// whether a request is due.
func (o *Observer) nextEvent(id ident.Upstream) (next uint64, due bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.cursors[id]
	return h.nextEvent, !ok || o.passCount-h.polledAtPass >= passesPerEventPoll
}

func (o *Observer) storeCursor(id ident.Upstream, next uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cursors[id] = eventCursor{nextEvent: next, polledAtPass: o.passCount}
}

// beginPass counts a pass and drops the event cursors of upstreams that are no longer owned.
func (o *Observer) beginPass(owned []owner.OwnedUpstream) {
	keep := make(map[ident.Upstream]eventCursor, len(owned))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.passCount++
	for _, upstream := range owned {
		if h, ok := o.cursors[upstream.ID]; ok {
			keep[upstream.ID] = h
		}
	}
	o.cursors = keep
}
