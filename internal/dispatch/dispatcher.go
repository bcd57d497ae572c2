package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/retry"
	"mangoledge.example/mangoledge/internal/sse"
)

const (
	// finishedRetention is how long a finished request stays in this node's memory.
	finishedRetention = time.Minute
	// sweepInterval is how often expired finished requests are removed.
	sweepInterval = 5 * time.Second
	// progressInterval is how often progress is reported to the witnesses.
	progressInterval = 500 * time.Millisecond
	// witnessTimeout limits one call to a witness, or to another node's Service.
	witnessTimeout = 600 * time.Millisecond
	// cancelTimeout limits the call that cancels a stream at an upstream.
	cancelTimeout = time.Second
)

// Options are the dependencies and limits of a Dispatcher.
type Options struct {
	Members   membership.View
	Witness   Witness
	Router    Router
	Admission Admission
	Guard     Guard
	Retries   *retry.Policy
	Budget    *retry.Budget
	Journal   Journal
	// Bodies is what the memory of forwarded requests is charged to; nil if it isn't.
	Bodies *ingress.Account
	// KeptLimit is how many bytes the answers of finished requests may take; 0 means no limit.
	KeptLimit int64
	// Answers bounds the memory of long answers of requests held here, and RelayedAnswers that of answers of other
	// nodes' requests on their way to callers; nil for no bound. An answer of another node's Answers may wait for
	// RelayedAnswers, but none of these for another node.
	Answers, RelayedAnswers *ingress.AnswerMemory
	// ReclaimTimes may be nil; reclaim times are unknown then.
	ReclaimTimes ReclaimTimes
	// RecoveryCounter may be nil; recoveries are not counted then.
	RecoveryCounter RecoveryCounter
	Engines         *engine.Client
	Services        *plainservice.Client
	Peers           *peer.Client
	Dialer          peer.Dialer
	Logger          *slog.Logger
	// Prefix creates a request-ID prefix for callers whose previous one is no longer usable.
	Prefix func() string
	// MaxRunning is the maximum number of workers, and so of requests run concurrently.
	MaxRunning int
}

// Dispatcher accepts requests, runs them at upstreams and serves their events to followers.
type Dispatcher struct {
	options   Options
	self      ident.Incarnation
	table     *table
	workers   *workerPool
	forwarder *forwarder
	costs     *costModel
	stopping  atomic.Bool
	// decoding is held while a forwarded request is decoded, which copies it a few times.
	decoding sync.Mutex
	// kept bounds the answers of finished requests.
	kept       request.KeptAnswers
	stop       context.CancelFunc
	background sync.WaitGroup
}

// New returns a Dispatcher; Start must be called before it is used.
func New(options Options) *Dispatcher {
	d := &Dispatcher{
		options: options,
		self:    options.Members.Self().Incarnation,
		table:   newTable(),
		costs:   newCostModel(),
	}
	d.forwarder = newForwarder(options.Dialer, func(ctx context.Context) error { return d.reserveRelayed(ctx, sse.MaxEventBytes) })
	d.workers = newWorkerPool(options.MaxRunning, d.run)
	d.kept.Limit, d.kept.List, d.kept.Drop = options.KeptLimit, d.listKept, d.table.drop
	return d
}

// Start starts the background work: reporting progress and removing finished requests.
func (d *Dispatcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	d.background.Add(2)
	go d.every(ctx, progressInterval, func() { d.reportProgress(d.table.all()) })
	go d.every(ctx, sweepInterval, d.sweep)
}

// sweep removes requests that finished some time ago.
func (d *Dispatcher) sweep() {
	d.table.expire(time.Now().Add(-finishedRetention))
	d.kept.Trim()
}

// Stop ends the background work and cancels the requests in progress, without waiting for them.
func (d *Dispatcher) Stop() {
	d.stop()
	d.background.Wait()
	for _, e := range d.table.all() {
		e.cancel()
	}
	d.workers.stop()
	d.forwarder.close()
}

// Drain forwards new requests to other nodes from now on.
func (d *Dispatcher) Drain() {
	d.stopping.Store(true)
}

// Running returns the number of requests in progress here.
func (d *Dispatcher) Running() int {
	running := 0
	for _, e := range d.table.all() {
		if e.inProgress() {
			running++
		}
	}
	return running
}

// Records returns the records of all requests held by this node.
func (d *Dispatcher) Records() []request.Record {
	entries := d.table.all()
	out := make([]request.Record, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.snapshot())
	}
	return out
}

// every calls step at each interval until ctx ends.
func (d *Dispatcher) every(ctx context.Context, interval time.Duration, step func()) {
	defer d.background.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step()
		}
	}
}

// recordDecision writes a decision about a request to the journal and the log.
func (d *Dispatcher) recordDecision(id ident.RequestID, decision, reason string) {
	d.options.Journal.Request(id, decision, reason)
	d.options.Logger.Debug(decision, "request", id.String(), "reason", reason)
}
