package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Resume follows a request from the caller's position. Its error is a *verdict.Error.
func (d *Dispatcher) Resume(ctx context.Context, res Resumption) (Attachment, error) {
	var homeErr error
	if e, ok, err := d.find(ctx, res.ID); ok || err != nil {
		if err != nil {
			return nil, err
		}
		return d.attachAt(e, res)
	}
	if !res.Forwarded && res.ID.Home != d.self && d.reachable(res.ID.Home) {
		attachment, err := d.forwarder.resume(ctx, d.addressOf(res.ID.Home), res)
		if err == nil || (isFinalRefusal(err) && verdict.From(err).Code != verdict.CodeUnknownRequest) {
			return attachment, err
		}
		homeErr = err
	}
	if res.Forwarded {
		return nil, errUnknown()
	}
	record, err := d.fetchRecord(ctx, func() (*request.Record, error) {
		reply, err := d.callWitnessFetch(ctx, res.ID)
		if err != nil {
			return nil, d.errProgressUnknown(res.ID, homeErr, err)
		}
		return recordOf(reply, res.Workspace)
	})
	if err != nil {
		return nil, err
	}
	if record.Phase.Final() {
		return &recordAttachment{record: *record, position: res.Position}, nil
	}
	return d.Submit(ctx, Submission{Spec: record.Spec, Position: res.Position})
}

// attachAt returns an attachment to an entry of this node, from the caller's position.
func (d *Dispatcher) attachAt(e *entry, res Resumption) (Attachment, error) {
	if e.spec.Workspace != res.Workspace {
		return nil, errUnknown()
	}
	record := e.snapshot()
	if !record.Continues(res.Position.Generation, res.Position.Offset) {
		return nil, errProgressLost(&record)
	}
	return &localAttachment{entry: e, position: res.Position, answers: d.options.Answers}, nil
}

// Fetch returns the record of a request from this node, its home, its holder or its
// witness, whichever is reached. Its error is a *verdict.Error.
func (d *Dispatcher) Fetch(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	if e, ok, err := d.find(ctx, id); ok || err != nil {
		if err != nil {
			return nil, err
		}
		if e.spec.Workspace != workspace {
			return nil, errUnknown()
		}
		record := e.snapshot()
		return &record, e.takeTurn(ctx, record.Output, d.options.Answers)
	}
	return d.fetchRecord(ctx, func() (*request.Record, error) { return d.fetchElsewhere(ctx, id, workspace) })
}

// fetchElsewhere returns the record of a request that this node doesn't hold.
func (d *Dispatcher) fetchElsewhere(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	var homeErr error
	if id.Home != d.self && d.reachable(id.Home) {
		record, err := d.callFetch(ctx, d.addressOf(id.Home), id, workspace)
		if err == nil {
			return record, nil
		}
		homeErr = err
	}
	record, err := d.fetchFromWitness(ctx, id, workspace, homeErr)
	if err != nil || record.Phase.Final() || record.Holder == d.self || !d.reachable(record.Holder) {
		return record, err
	}
	if fresh, err := d.callFetch(ctx, d.addressOf(record.Holder), id, workspace); err == nil {
		return fresh, nil
	}
	return record, nil
}

// Cancel cancels a request; one that has already ended does not change. Its error is a
// *verdict.Error.
func (d *Dispatcher) Cancel(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	if e, ok := d.table.get(id); ok && !e.isReleased() {
		if e.spec.Workspace != workspace {
			return nil, errUnknown()
		}
		d.cancelEntry(e)
		record := e.snapshot()
		return &record, nil
	}
	var homeErr error
	if id.Home != d.self && d.reachable(id.Home) {
		record, err := d.callCancel(ctx, d.addressOf(id.Home), id, workspace)
		if err == nil {
			return record, nil
		}
		homeErr = err
	}
	return d.cancelAtWitness(ctx, id, workspace, homeErr)
}

// cancelAtWitness cancels a request of workspace through its witness, when neither this
// node nor its home could; homeErr is as for errNotFound.
func (d *Dispatcher) cancelAtWitness(ctx context.Context, id ident.RequestID, workspace ident.Workspace, homeErr error) (*request.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Cancel(ctx, &grant.CancelRequest{ID: id, Workspace: workspace})
	if decided, ok := witnessDecision(err); ok {
		return nil, decided
	}
	if err != nil {
		return nil, d.errNotFound(id, homeErr, err)
	}
	if !reply.Found {
		return nil, errUnknown()
	}
	return &reply.Record, nil
}

// cancelEntry cancels an entry of this node, unless it has already ended.
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

// fetchFromWitness returns the witness's record of a request of workspace; homeErr is
// as for errNotFound.
func (d *Dispatcher) fetchFromWitness(ctx context.Context, id ident.RequestID, workspace ident.Workspace, homeErr error) (*request.Record, error) {
	reply, err := d.callWitnessFetch(ctx, id)
	if err != nil {
		return nil, d.errNotFound(id, homeErr, err)
	}
	return recordOf(reply, workspace)
}

func (d *Dispatcher) callWitnessFetch(ctx context.Context, id ident.RequestID) (*grant.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Fetch(ctx, &grant.FetchRequest{ID: id})
	return &reply, err
}

// recordOf returns the record in a witness's reply, or an error if there is none for
// workspace.
func recordOf(reply *grant.FetchReply, workspace ident.Workspace) (*request.Record, error) {
	if !reply.Found || reply.Record.Spec.Workspace != workspace {
		return nil, errUnknown()
	}
	return &reply.Record, nil
}

// errProgressUnknown is the refusal of a resume when no node that knows the request can
// be reached. The caller has the request and its tokens and sends both again; an
// idempotent request then continues after these tokens. The refusal has a RetryAfter for
// as long as home or witness may still answer; homeErr and cause are as for
// errNotFound.
func (d *Dispatcher) errProgressUnknown(id ident.RequestID, homeErr, cause error) *verdict.Error {
	refusal := verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest,
		"neither home nor witness of this request can be reached; send it again under its ID, with the tokens received")
	if d.isPermanentlyUnknown(id, homeErr, cause) {
		return refusal
	}
	return refusal.WithRetryAfter(resendDelay)
}

func errUnknown() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request is known; it may have expired")
}
