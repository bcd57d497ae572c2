// Package observe asks the upstreams that this node owns for their load and for
// the events of their prefix caches, and teaches the owner's table.
//
// An upstream that does not answer gets no new work until it does.
//
// Invariants: only the owner asks an upstream, so that the number of calls grows
// with the upstreams and not with the nodes; an answer that does not come changes
// nothing, since the owner counts what is in flight by itself.
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
	// askTimeout bounds one call of an upstream.
	askTimeout = 700 * time.Millisecond
	// askers is how many upstreams are asked at once.
	askers = 8
	// eventPasses is how many passes lie between two questions for an upstream's
	// cache events, which come late anyhow.
	eventPasses = 3
	// blockBase is the base that blocks are written in.
	blockBase = 16
	// blockBits is the size of a block's hash.
	blockBits = 64
)

// Engines are asked; *engine.Client is one.
type Engines interface {
	ReportLoad(ctx context.Context, base string) (*engine.Load, error)
	ReportCacheEvents(ctx context.Context, base string, since uint64) (*engine.CacheEvents, error)
}

// Observer asks the upstreams of one ledger.
type Observer struct {
	ledger  *owner.Ledger
	engines Engines

	mu sync.Mutex
	// pass counts the passes.
	pass  uint64
	heard map[ident.Upstream]heard
}

// heard is what was heard of the cache events of one upstream.
type heard struct {
	// next is the number of the next event, pass when the last ones were asked for.
	next uint64
	pass uint64
}

// New returns an observer of the upstreams that ledger counts for.
func New(ledger *owner.Ledger, engines Engines) *Observer {
	return &Observer{ledger: ledger, engines: engines, heard: make(map[ident.Upstream]heard)}
}

// Pass asks every upstream once for its load, and those whose turn it is for
// their cache events.
func (o *Observer) Pass(ctx context.Context) {
	owned := o.ledger.Owned()
	o.begin(owned)
	queue := make(chan owner.OwnedUpstream, len(owned))
	for _, upstream := range owned {
		queue <- upstream
	}
	close(queue)
	var done sync.WaitGroup
	for range min(askers, len(owned)) {
		done.Go(func() {
			for upstream := range queue {
				o.ask(ctx, upstream)
			}
		})
	}
	done.Wait()
}

// ask asks one upstream. A plain service answers neither call.
func (o *Observer) ask(ctx context.Context, upstream owner.OwnedUpstream) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	load, err := o.engines.ReportLoad(ctx, upstream.URL)
	o.ledger.Table().SetReachable(upstream.ID, isUp(err))
	if err != nil {
		return
	}
	o.ledger.Table().RecordLoad(upstream.ID, routing.Load{Running: load.Running, Waiting: load.Waiting, MeasuredAt: asked})
	since, due := o.since(upstream.ID)
	if !due {
		return
	}
	events, err := o.engines.ReportCacheEvents(ctx, upstream.URL, since)
	if err != nil {
		return
	}
	o.ledger.Table().ApplyCacheEvents(time.Now(), upstream.ID, eventsOf(events.Events))
	o.remember(upstream.ID, events.Next)
}

// isUp reports whether an upstream answered a look, if only that it does not
// know the call, as plain services do.
func isUp(err error) bool {
	return err == nil || verdict.From(err).Code == verdict.CodeUnknownRequest
}

// eventsOf are events as the table takes them; blocks that can't be read are passed over.
func eventsOf(in []engine.CacheEvent) []routing.CacheEvent {
	out := make([]routing.CacheEvent, 0, len(in))
	for _, event := range in {
		block, err := strconv.ParseUint(event.Block, blockBase, blockBits)
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

// since returns the number of the next event of an upstream, and whether it is
// time to ask for it.
func (o *Observer) since(id ident.Upstream) (next uint64, due bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.heard[id]
	return h.next, !ok || o.pass-h.pass >= eventPasses
}

func (o *Observer) remember(id ident.Upstream, next uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heard[id] = heard{next: next, pass: o.pass}
}

// begin counts a pass and drops what is known of upstreams that are owned no more.
func (o *Observer) begin(owned []owner.OwnedUpstream) {
	keep := make(map[ident.Upstream]heard, len(owned))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pass++
	for _, upstream := range owned {
		if h, ok := o.heard[upstream.ID]; ok {
			keep[upstream.ID] = h
		}
	}
	o.heard = keep
}
