package grant

import (
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Cancel records that the caller wants no answer any more. A request that was
// granted stays running until its holder, which is told at its next report,
// finishes it; any other is cancelled at once.
func (t *Table) Cancel(req *CancelRequest) (FetchReply, error) {
	if err := t.check(); err != nil {
		return FetchReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return FetchReply{}, nil
	}
	if e.Record.Spec.Workspace != req.Workspace {
		return FetchReply{}, ErrForeign
	}
	if !e.Record.Phase.Final() {
		e.cancel()
	}
	return FetchReply{Found: true, Record: e.record()}, nil
}

func (e *Entry) cancel() {
	e.Cancelled = true
	if e.Record.Spec.Idempotent {
		e.Record.Phase = request.PhaseCancelled
		e.pack()
		return
	}
	if !e.Slot.Taken {
		e.fail(request.PhaseCancelled, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the request was cancelled before it was run"))
	}
}
