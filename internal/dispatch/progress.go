package dispatch

import (
	"context"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// progressWorkers is how many reports of progress are under way at once.
const progressWorkers = 8

// progressLoop reports progress to the witnesses.
func (d *Dispatcher) progressLoop(ctx context.Context) {
	defer d.done.Done()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.reportAll(d.table.all())
		}
	}
}

// reportAll reports the progress of entries and waits for it.
func (d *Dispatcher) reportAll(entries []*entry) {
	queue := make(chan *entry)
	var done sync.WaitGroup
	for range min(progressWorkers, len(entries)) {
		done.Add(1)
		go func() {
			defer done.Done()
			for e := range queue {
				d.report(e)
			}
		}()
	}
	for _, e := range entries {
		queue <- e
	}
	close(queue)
	done.Wait()
}

// report tells the witness of e what is new; it does nothing when nothing is.
func (d *Dispatcher) report(e *entry) {
	req, ok := e.progress(d)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Progress(ctx, req)
	if err != nil {
		return
	}
	if reply.Cancelled {
		d.cancelEntry(e)
		return
	}
	switch {
	case reply.Applied:
		e.markReported(req.Offset + len(req.Tokens))
	case reply.Epoch == 0:
		e.forgotten()
	case reply.Epoch != req.Epoch:
		d.superseded(e)
	default:
		e.markReported(reply.Known)
	}
}

// superseded gives up a request that another node has taken over.
func (d *Dispatcher) superseded(e *entry) {
	if e.release() {
		d.note(e.spec.ID, "superseded", "another node has taken the request over")
		e.sendAway()
		e.cancel()
	}
}

// progress makes the report of what is new, if anything is.
func (e *entry) progress(d *Dispatcher) (*grant.ProgressRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	nothingNew := e.reported == len(e.record.Tokens) && !e.released
	if !e.witnessed || e.record.Phase.Final() || nothingNew {
		return nil, false
	}
	return &grant.ProgressRequest{
		ID:          e.spec.ID,
		Holder:      d.self,
		Epoch:       e.record.Epoch,
		Upstream:    e.record.Upstream,
		UpstreamURL: e.record.UpstreamURL,
		Generation:  e.record.Generation,
		Forks:       e.record.Forks,
		Offset:      e.reported,
		Tokens:      e.record.Tokens[e.reported:],
		Moves:       e.record.Moves,
		Released:    e.released,
	}, true
}

func (e *entry) markReported(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = min(tokens, len(e.record.Tokens))
}

// forgotten notes that the witness has no record of the request any more.
func (e *entry) forgotten() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witnessed = false
}

// reportFinal tells the witness how a request ended.
func (d *Dispatcher) reportFinal(e *entry, phase request.Phase, failure *verdict.Error) {
	record := e.snapshot()
	if !e.isWitnessed() {
		return
	}
	record.Phase = phase
	record.Failure = failure
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	_, err := d.options.Witness.Finish(ctx, &grant.FinishRequest{ID: e.spec.ID, Holder: d.self, Epoch: record.Epoch, Record: record})
	if err != nil {
		d.options.Logger.Warn("the witness could not be told of a result", "request", e.spec.ID.String(), "error", err)
	}
}

func (e *entry) isWitnessed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.witnessed
}

// Release gives up every request that may go on elsewhere, with all its
// progress told to its witness, and sends its followers away. It returns the
// number of requests given up.
func (d *Dispatcher) Release() int {
	var released []*entry
	for _, e := range d.table.all() {
		if e.release() {
			released = append(released, e)
		}
	}
	d.reportAll(released)
	for _, e := range released {
		e.sendAway()
		e.cancel()
	}
	return len(released)
}
