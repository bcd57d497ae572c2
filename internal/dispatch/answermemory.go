package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// answerMemory is what is reserved for the long answer of an entry. Its fields are guarded by the entry's mutex.
type answerMemory struct {
	// users are the worker that runs the entry and the requests of callers that follow it. The last one gives the
	// memory back; the answer is then one of those that are kept for resends.
	users int
	// release gives the memory back; nil if none is reserved.
	release func()
}

// setOutput stores the reply of a plain service as the request's output.
func (e *entry) setOutput(reply plainservice.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Output = reply.Text
	e.answer.release = joinRelease(e.answer.release, reply.Release)
}

// useAnswer counts a user of the answer, for whom release gives back memory; nil for none.
func (e *entry) useAnswer(release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer.users++
	e.answer.release = joinRelease(e.answer.release, release)
}

// leaveAnswer counts a user less.
func (e *entry) leaveAnswer() {
	e.mu.Lock()
	e.answer.users--
	var release func()
	if e.answer.users == 0 {
		release, e.answer.release = e.answer.release, nil
	}
	e.mu.Unlock()
	if release != nil {
		release()
	}
}

// joinRelease returns a function that calls both; either may be nil.
func joinRelease(a, b func()) func() {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	return func() {
		a()
		b()
	}
}

// takeTurn waits until no other request of a caller sends the entry's long answer, which is encoded for each of
// them, or until there is memory for one more. What it takes is given back with the scope in ctx.
func (e *entry) takeTurn(ctx context.Context, output string, memory *ingress.AnswerMemory) error {
	if len(output) <= ingress.ShortAnswer {
		return nil
	}
	endTurn := func() { <-e.turn }
	select {
	case e.turn <- struct{}{}:
		ingress.HoldInScope(ctx, endTurn)
		return nil
	default:
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	reserved := make(chan func())
	go func() {
		release, err := memory.Reserve(waiting, int64(len(output)))
		if err != nil {
			return
		}
		select {
		case reserved <- release:
		case <-waiting.Done():
			release()
		}
	}()
	select {
	case e.turn <- struct{}{}:
		ingress.HoldInScope(ctx, endTurn)
	case release := <-reserved:
		ingress.HoldInScope(ctx, release)
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// find returns the entry of a request that this node holds, for the caller's request of ctx. Memory for a long
// answer is reserved first. While it waits, the entry may be dropped: it is not referenced.
func (d *Dispatcher) find(ctx context.Context, id ident.RequestID) (*entry, bool, error) {
	release, err := d.options.Answers.Reserve(ctx, d.unreservedAnswer(id))
	if err != nil {
		return nil, false, verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "no memory for the answer: %v", err).WithRetryAfter(resendDelay)
	}
	e, ok := d.table.get(id)
	if !ok || e.isReleased() {
		release()
		return nil, false, nil
	}
	d.follow(ctx, e, release)
	return e, true, nil
}

// follow makes the caller's request of ctx a user of an entry's answer.
func (d *Dispatcher) follow(ctx context.Context, e *entry, release func()) {
	e.useAnswer(release)
	ingress.HoldInScope(ctx, e.leaveAnswer)
}

// unreservedAnswer returns the length of a request's answer if no memory is reserved for it.
func (d *Dispatcher) unreservedAnswer(id ident.RequestID) int64 {
	e, ok := d.table.get(id)
	if !ok {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer.release != nil {
		return 0
	}
	return int64(len(e.record.Output))
}

// fetchRecord calls fetch, which gets a record from another node. If its answer is long, memory is reserved for it
// and the record is fetched again, so that none is kept while it waits.
func (d *Dispatcher) fetchRecord(ctx context.Context, fetch func() (*request.Record, error)) (*request.Record, error) {
	record, err := fetch()
	if err != nil || len(record.Output) <= ingress.ShortAnswer {
		return record, err
	}
	length := int64(len(record.Output))
	record = nil
	if err := d.reserveRelayed(ctx, length); err != nil {
		return nil, err
	}
	return fetch()
}

// reserveRelayed reserves memory for an answer of another node, until the scope in ctx ends.
func (d *Dispatcher) reserveRelayed(ctx context.Context, length int64) error {
	release, err := d.options.RelayedAnswers.Reserve(ctx, length)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "no memory for the answer: %v", err).WithRetryAfter(resendDelay)
	}
	ingress.HoldInScope(ctx, release)
	return nil
}
