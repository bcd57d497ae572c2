package grant

import (
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Cancel records that the caller has cancelled the request. A granted request
// keeps running until its holder, which learns of the cancellation from the reply
// to its next report, finishes it; any other request is cancelled immediately.
func (t *Table) Cancel(req *CancelRequest) (FetchReply, error) {
	if err := t.checkActive(); err != nil {
		return FetchReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return FetchReply{}, nil
	}
	if e.Record.Spec.Workspace != req.Workspace {
		return FetchReply{}, ErrWrongWorkspace
	}
	if !e.Record.Phase.Final() {
		e.cancel()
	}
	return FetchReply{Found: true, Record: e.recordCopy()}, nil
}

// cancel marks the entry as cancelled, and ends the request unless it has been granted.
func (e *Entry) cancel() {
	e.Cancelled = true
	if e.Record.Spec.Idempotent {
		e.Record.Phase = request.PhaseCancelled
		e.pack()
		return
	}
	if !e.Slot.Taken {
		e.endNotRun(request.PhaseCancelled, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the request was cancelled before it was run"))
	}
}
