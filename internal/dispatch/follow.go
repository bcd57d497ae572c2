package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// followHeartbeat is the interval of the heartbeats sent to a follower.
const followHeartbeat = time.Second

// Attachment is a request that a caller may follow.
type Attachment interface {
	// Follow emits the request's events up to the last one, or until ctx ends or emit
	// returns an error.
	Follow(ctx context.Context, emit Emit) error
	// Close releases the attachment. It must be called if Follow is not called, and may
	// be called after it.
	Close()
}

// localAttachment follows a request held by this node.
type localAttachment struct {
	entry    *entry
	position Position
	// answers is the memory of long answers; nil for no limit.
	answers *ingress.AnswerMemory
}

// Close does nothing.
func (a *localAttachment) Close() {}

// Follow emits the events of the request.
func (a *localAttachment) Follow(ctx context.Context, emit Emit) error {
	ticker := time.NewTicker(followHeartbeat)
	defer ticker.Stop()
	offset := a.position.Offset
	generation := a.position.Generation
	accepted := false
	for {
		now := a.entry.view()
		if !now.record.Continues(generation, offset) {
			return emit(Event{Kind: EventError, Failure: errProgressLost(&now.record)})
		}
		if now.record.Generation != generation || !accepted {
			generation = now.record.Generation
			accepted = true
			if err := emit(Event{Kind: EventAccepted, ID: a.entry.spec.ID.String(), Generation: generation, Offset: offset}); err != nil {
				return err
			}
		}
		for ; offset < len(now.record.Tokens); offset++ {
			if err := emit(Event{Kind: EventToken, Offset: offset, Text: now.record.Tokens[offset]}); err != nil {
				return err
			}
		}
		if last, ok := lastEvent(&now); ok {
			if err := a.entry.takeTurn(ctx, last.Output, a.answers); err != nil {
				return err
			}
			return emit(last)
		}
		select {
		case <-now.changed:
		case <-ticker.C:
			if err := emit(Event{Kind: EventHeartbeat}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lastEvent returns the event that ends Follow, if the request has ended or moved.
func lastEvent(now *view) (Event, bool) {
	if now.redirected {
		return Event{Kind: EventMoved}, true
	}
	switch now.record.Phase {
	case request.PhaseDone:
		return Event{Kind: EventDone, Tokens: len(now.record.Tokens), Moves: now.record.Moves, Output: now.record.Output}, true
	case request.PhaseFailed, request.PhaseCancelled:
		return Event{Kind: EventError, Failure: failureOf(&now.record)}, true
	case request.PhaseWaiting, request.PhaseRunning:
	}
	return Event{}, false
}

// recordAttachment replays the record of a request that has ended at another node.
type recordAttachment struct {
	record   request.Record
	position Position
}

// Close does nothing.
func (a *recordAttachment) Close() {}

// Follow emits the events of the finished request.
func (a *recordAttachment) Follow(ctx context.Context, emit Emit) error {
	ended := newEntry(a.record, nil)
	defer ended.cancel()
	local := localAttachment{entry: ended, position: a.position}
	return local.Follow(ctx, emit)
}

// errProgressLost is the refusal of a caller whose tokens can't be continued.
func errProgressLost(record *request.Record) *verdict.Error {
	if record.Phase.Final() {
		return verdict.New(verdict.Ran, verdict.CodeGenerationChanged, "the answer ended in generation %s; take it from offset 0", record.Generation)
	}
	return verdict.New(verdict.Ran, verdict.CodeProgressLost, "the tokens you hold are not known here; send the request again with them in `received`")
}

// failureOf returns why a request ended without an answer.
func failureOf(record *request.Record) *verdict.Error {
	if record.Failure != nil {
		return record.Failure
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "the request was cancelled")
}
