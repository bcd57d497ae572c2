package dispatch

import (
	"context"
	"sync"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// progressWorkers is how many batches of progress are under way at once.
	progressWorkers = 8
	// maxBatch is how many requests one batch reports on.
	maxBatch = 64
)

// reportAll reports what is new of entries, in batches for each witness, and waits for it.
func (d *Dispatcher) reportAll(entries []*entry) {
	batches := d.batches(entries)
	queue := make(chan *batch, len(batches))
	for _, b := range batches {
		queue <- b
	}
	close(queue)
	var done sync.WaitGroup
	for range min(progressWorkers, len(batches)) {
		done.Go(func() {
			for b := range queue {
				d.report(b)
			}
		})
	}
	done.Wait()
}

// batch is what is new of several entries with the same witness.
type batch struct {
	witness ident.Incarnation
	entries []*entry
	reports []grant.ProgressRequest
}

// batches sorts what is new of entries by witness.
func (d *Dispatcher) batches(entries []*entry) []*batch {
	var out []*batch
	filling := make(map[ident.Incarnation]*batch)
	for _, e := range entries {
		report, ok := e.progress(d)
		if !ok {
			continue
		}
		b := filling[e.spec.ID.Witness]
		if b == nil || len(b.reports) == maxBatch {
			b = &batch{witness: e.spec.ID.Witness}
			filling[b.witness] = b
			out = append(out, b)
		}
		b.entries = append(b.entries, e)
		b.reports = append(b.reports, *report)
	}
	return out
}

// report sends one batch and takes in the answers.
func (d *Dispatcher) report(b *batch) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	answers, err := d.options.Witness.ProgressBatch(ctx, b.witness, b.reports)
	if err != nil {
		return
	}
	for i := range answers {
		if answers[i].Answered {
			d.takeAnswer(b.entries[i], &b.reports[i], answers[i].Update)
		}
	}
}

// takeAnswer takes in the answer to one report.
func (d *Dispatcher) takeAnswer(e *entry, sent *grant.ProgressRequest, reply grant.UpdateReply) {
	switch {
	case reply.Cancelled:
		d.cancelEntry(e)
	case reply.Applied:
		e.markReported(sent.Offset + len(sent.Tokens))
	case reply.Epoch == 0:
		e.forgotten()
	case reply.Epoch != sent.Epoch:
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
	record.Spec = request.Spec{} // the witness has the rest from the claim
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
