package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Resume follows a request from where the caller stands. Its error is a *verdict.Error.
func (d *Dispatcher) Resume(ctx context.Context, res Resumption) (Attachment, error) {
	var homeAnswer error
	if e, ok := d.table.get(res.ID); ok && !e.isReleased() {
		return d.attachAt(e, res)
	}
	if !res.Forwarded && res.ID.Home != d.self && d.reachable(res.ID.Home) {
		attachment, err := d.forwarder.resume(ctx, d.addressOf(res.ID.Home), res)
		if err == nil || (isFinalRefusal(err) && verdict.From(err).Code != verdict.CodeUnknownRequest) {
			return attachment, err
		}
		homeAnswer = err
	}
	if res.Forwarded {
		return nil, errUnknown()
	}
	reply, err := d.askWitness(ctx, res.ID)
	if err != nil {
		return nil, d.errProgressUnknown(res.ID, homeAnswer, err)
	}
	record, err := recordOf(reply, res.Workspace)
	if err != nil {
		return nil, err
	}
	if record.Phase.Final() {
		return &recordAttachment{record: *record, position: res.Position}, nil
	}
	return d.Submit(ctx, Submission{Spec: record.Spec, Position: res.Position})
}

// attachAt follows an entry of this node from a position.
func (d *Dispatcher) attachAt(e *entry, res Resumption) (Attachment, error) {
	if e.spec.Workspace != res.Workspace {
		return nil, errUnknown()
	}
	record := e.snapshot()
	if !record.Continues(res.Position.Generation, res.Position.Offset) {
		return nil, errProgressLost(&record)
	}
	return &localAttachment{entry: e, position: res.Position}, nil
}

// Fetch returns what is known about a request. Its error is a *verdict.Error.
func (d *Dispatcher) Fetch(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	if e, ok := d.table.get(id); ok && !e.isReleased() {
		if e.spec.Workspace != workspace {
			return nil, errUnknown()
		}
		record := e.snapshot()
		return &record, nil
	}
	var homeAnswer error
	if id.Home != d.self && d.reachable(id.Home) {
		record, err := d.callFetch(ctx, d.addressOf(id.Home), id, workspace)
		if err == nil {
			return record, nil
		}
		homeAnswer = err
	}
	record, err := d.fetchFromWitness(ctx, id, workspace, homeAnswer)
	if err != nil || record.Phase.Final() || record.Holder == d.self || !d.reachable(record.Holder) {
		return record, err
	}
	if fresh, err := d.callFetch(ctx, d.addressOf(record.Holder), id, workspace); err == nil {
		return fresh, nil
	}
	return record, nil
}

// Cancel ends a request; one that has ended already stays as it is.
func (d *Dispatcher) Cancel(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	if e, ok := d.table.get(id); ok && !e.isReleased() {
		if e.spec.Workspace != workspace {
			return nil, errUnknown()
		}
		d.cancelEntry(e)
		record := e.snapshot()
		return &record, nil
	}
	var homeAnswer error
	if id.Home != d.self && d.reachable(id.Home) {
		record, err := d.callCancel(ctx, d.addressOf(id.Home), id, workspace)
		if err == nil {
			return record, nil
		}
		homeAnswer = err
	}
	return d.cancelAtWitness(ctx, id, workspace, homeAnswer)
}

// cancelAtWitness ends a request of workspace that no node which could be asked
// runs; homeAnswer is as for notFound.
func (d *Dispatcher) cancelAtWitness(ctx context.Context, id ident.RequestID, workspace ident.Workspace, homeAnswer error) (*request.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Cancel(ctx, &grant.CancelRequest{ID: id, Workspace: workspace})
	if decided, ok := witnessDecision(err); ok {
		return nil, decided
	}
	if err != nil {
		return nil, d.notFound(id, homeAnswer, err)
	}
	if !reply.Found {
		return nil, errUnknown()
	}
	return &reply.Record, nil
}

// cancelEntry ends an entry of this node.
func (d *Dispatcher) cancelEntry(e *entry) {
	v := verdict.Ran
	if !e.snapshot().Phase.Final() && !e.wasDispatched() {
		v = verdict.NotRun
		if !e.spec.Idempotent {
			v = verdict.MayHaveRun
		}
	}
	if e.finish(request.PhaseCancelled, verdict.New(v, verdict.CodeCancelled, "the caller cancelled the request")) {
		e.cancel()
	}
}

// fetchFromWitness asks the witness for a record of workspace; homeAnswer is as for notFound.
func (d *Dispatcher) fetchFromWitness(ctx context.Context, id ident.RequestID, workspace ident.Workspace, homeAnswer error) (*request.Record, error) {
	reply, err := d.askWitness(ctx, id)
	if err != nil {
		return nil, d.notFound(id, homeAnswer, err)
	}
	return recordOf(reply, workspace)
}

func (d *Dispatcher) askWitness(ctx context.Context, id ident.RequestID) (*grant.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Fetch(ctx, &grant.FetchRequest{ID: id})
	return &reply, err
}

// recordOf returns the record that a witness has of a request of workspace.
func recordOf(reply *grant.FetchReply, workspace ident.Workspace) (*request.Record, error) {
	if !reply.Found || reply.Record.Spec.Workspace != workspace {
		return nil, errUnknown()
	}
	return &reply.Record, nil
}

// errProgressUnknown is the answer when nobody who knows the request can be
// reached. Its caller has the request and its tokens, and sends them again: an
// idempotent request then goes on behind them. The answer names a time to come
// back for as long as home or witness may still tell; homeAnswer and cause are as
// for notFound.
func (d *Dispatcher) errProgressUnknown(id ident.RequestID, homeAnswer, cause error) *verdict.Error {
	refusal := verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest,
		"neither home nor witness of this request can be reached; send it again under its ID, with the tokens received")
	if d.neverKnown(id, homeAnswer, cause) {
		return refusal
	}
	return refusal.WithRetryAfter(resendDelay)
}

func errUnknown() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request is known; it may have expired")
}
