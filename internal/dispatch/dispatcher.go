package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/retry"
)

const (
	// keepFinished is how long a finished request stays in this node's memory.
	keepFinished = time.Minute
	// sweepInterval is the time between two sweeps of finished requests.
	sweepInterval = 5 * time.Second
	// progressInterval is the time between two reports of progress to the witnesses.
	progressInterval = 500 * time.Millisecond
	// witnessTimeout bounds one call of a witness.
	witnessTimeout = 600 * time.Millisecond
	// cancelTimeout bounds the call that stops a stream at an upstream.
	cancelTimeout = time.Second
)

// Options are what a Dispatcher works with.
type Options struct {
	Members   membership.View
	Witness   Witness
	Router    Router
	Admission Admission
	Guard     Guard
	Retries   *retry.Policy
	Budget    *retry.Budget
	Journal   Journal
	// Reclaims may be nil: no time is ever known then.
	Reclaims Reclaims
	// Recoveries may be nil: nothing is counted then.
	Recoveries Recoveries
	Engines    *engine.Client
	Services   *plainservice.Client
	Peers      *peer.Client
	Dialer     peer.Dialer
	Logger     *slog.Logger
	// Prefix makes a fresh request-ID prefix for callers whose old one can no longer serve.
	Prefix func() string
	// MaxRunning is the number of workers, and so of requests run at once.
	MaxRunning int
}

// Dispatcher runs requests.
type Dispatcher struct {
	options   Options
	self      ident.Incarnation
	table     *table
	workers   *workers
	forwarder *forwarder
	costs     *costs
	stopping  atomic.Bool
	stop      context.CancelFunc
	done      sync.WaitGroup
}

// New returns a Dispatcher; Start must be called before it is used.
func New(options Options) *Dispatcher {
	d := &Dispatcher{
		options:   options,
		self:      options.Members.Self().Incarnation,
		table:     newTable(),
		forwarder: newForwarder(options.Dialer),
		costs:     newCosts(),
	}
	d.workers = newWorkers(options.MaxRunning, d.run)
	return d
}

// Start begins reporting progress and forgetting finished requests.
func (d *Dispatcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	d.done.Add(2)
	go d.every(ctx, progressInterval, func() { d.reportAll(d.table.all()) })
	go d.every(ctx, sweepInterval, func() { d.table.expire(time.Now().Add(-keepFinished)) })
}

// Stop ends the background work. Requests in progress are not waited for.
func (d *Dispatcher) Stop() {
	d.stop()
	d.done.Wait()
	for _, e := range d.table.all() {
		e.cancel()
	}
	d.workers.stop()
	d.forwarder.close()
}

// Drain has new requests run at other nodes from now on.
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

// Records returns what is known about the requests of this node.
func (d *Dispatcher) Records() []request.Record {
	entries := d.table.all()
	out := make([]request.Record, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.snapshot())
	}
	return out
}

// every runs step at an interval until ctx ends.
func (d *Dispatcher) every(ctx context.Context, interval time.Duration, step func()) {
	defer d.done.Done()
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

// note writes a decision to the journal and the log.
func (d *Dispatcher) note(id ident.RequestID, decision, reason string) {
	d.options.Journal.Request(id, decision, reason)
	d.options.Logger.Debug(decision, "request", id.String(), "reason", reason)
}
