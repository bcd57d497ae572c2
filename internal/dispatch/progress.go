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
	// progressWorkers is the maximum number of progress batches sent concurrently.
	progressWorkers = 8
	// maxBatch is the maximum number of requests in one batch.
	maxBatch = 64
)

// reportProgress reports the new progress of entries to their witnesses in batches, and
// waits for the answers.
func (d *Dispatcher) reportProgress(entries []*entry) {
	batches := d.progressBatches(entries)
	queue := make(chan *progressBatch, len(batches))
	for _, b := range batches {
		queue <- b
	}
	close(queue)
	var done sync.WaitGroup
	for range min(progressWorkers, len(batches)) {
		done.Go(func() {
			for b := range queue {
				d.sendBatch(b)
			}
		})
	}
	done.Wait()
}

// progressBatch holds the progress reports of entries with the same witness.
type progressBatch struct {
	witness ident.Incarnation
	entries []*entry
	reports []grant.ProgressRequest
}

// progressBatches groups the new progress of entries by witness.
func (d *Dispatcher) progressBatches(entries []*entry) []*progressBatch {
	var out []*progressBatch
	current := make(map[ident.Incarnation]*progressBatch)
	for _, e := range entries {
		report, ok := e.progressReport(d)
		if !ok {
			continue
		}
		b := current[e.spec.ID.Witness]
		if b == nil || len(b.reports) == maxBatch {
			b = &progressBatch{witness: e.spec.ID.Witness}
			current[b.witness] = b
			out = append(out, b)
		}
		b.entries = append(b.entries, e)
		b.reports = append(b.reports, *report)
	}
	return out
}

// sendBatch sends one batch and applies the answers. If the call fails, the progress
// stays unreported until the next round.
func (d *Dispatcher) sendBatch(b *progressBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	answers, err := d.options.Witness.ProgressBatch(ctx, b.witness, b.reports)
	if err != nil {
		return
	}
	for i := range answers {
		if answers[i].Answered {
			d.handleProgressAnswer(b.entries[i], &b.reports[i], answers[i].Update)
		}
	}
}

// handleProgressAnswer applies the witness's answer to one report.
func (d *Dispatcher) handleProgressAnswer(e *entry, sent *grant.ProgressRequest, reply grant.UpdateReply) {
	switch {
	case reply.Cancelled:
		d.cancelEntry(e)
	case reply.Applied:
		e.markReported(sent.Offset + len(sent.Tokens))
	case reply.Epoch == 0:
		e.clearWitnessed()
	case reply.Epoch != sent.Epoch:
		d.releaseSuperseded(e)
	default:
		e.markReported(reply.Known)
	}
}

// releaseSuperseded releases a request that another node has taken over.
func (d *Dispatcher) releaseSuperseded(e *entry) {
	if e.release() {
		d.recordDecision(e.spec.ID, "superseded", "another node has taken the request over")
		e.redirectFollowers()
		e.cancel()
	}
}

// progressReport returns the report for the witness; false when there is nothing new.
func (e *entry) progressReport(d *Dispatcher) (*grant.ProgressRequest, bool) {
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

// clearWitnessed records that the witness no longer has a record of the request.
func (e *entry) clearWitnessed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witnessed = false
}

// reportFinal reports the final result of a request to its witness.
func (d *Dispatcher) reportFinal(e *entry, phase request.Phase, failure *verdict.Error) {
	record := e.snapshot()
	if !e.isWitnessed() {
		return
	}
	record.Phase = phase
	record.Failure = failure
	record.Spec = request.Spec{} // the witness has the spec from the claim
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	_, err := d.options.Witness.Finish(ctx, &grant.FinishRequest{ID: e.spec.ID, Holder: d.self, Epoch: record.Epoch, Record: record})
	if err != nil {
		d.options.Logger.Warn("failed to report the final result of a request to its witness", "request", e.spec.ID.String(), "error", err)
	}
}

func (e *entry) isWitnessed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.witnessed
}

// ReleaseRequests gives up each request that another node may continue: it reports the
// progress to the witness and then redirects the followers. It returns the number of
// requests given up.
func (d *Dispatcher) ReleaseRequests() int {
	var released []*entry
	for _, e := range d.table.all() {
		if e.release() {
			released = append(released, e)
		}
	}
	d.reportProgress(released)
	for _, e := range released {
		e.redirectFollowers()
		e.cancel()
	}
	return len(released)
}
