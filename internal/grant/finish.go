package grant

import "mangoledge.example/mangoledge/internal/request"

// Finish records the final state of a request. The holder with the grant may
// always finish it; without a grant, only the holder under the record's epoch may.
// Finishing a non-idempotent request that was not granted voids its slot.
func (t *Table) Finish(req *FinishRequest) (UpdateReply, error) {
	if err := t.checkActive(); err != nil {
		return UpdateReply{}, err
	}
	if !req.Record.Phase.Final() {
		return UpdateReply{}, ErrNotFinal
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return UpdateReply{}, nil
	}
	if !e.mayUpdate(req.Holder, req.Epoch) {
		return e.updateReply(false), nil
	}
	if e.Record.Phase.Final() {
		return e.updateReply(e.Record.Phase == req.Record.Phase), nil
	}
	return e.finish(&req.Record)
}

// finish applies the final state that the holder reported.
func (e *Entry) finish(final *request.Record) (UpdateReply, error) {
	r := &e.Record
	if !r.Spec.Idempotent && !e.Slot.Taken {
		if final.Phase == request.PhaseDone {
			return UpdateReply{}, ErrNotGranted
		}
		e.endNotRun(final.Phase, final.Failure)
		return e.updateReply(true), nil
	}
	r.Phase = final.Phase
	r.Upstream = final.Upstream
	r.UpstreamURL = final.UpstreamURL
	r.Generation = final.Generation
	r.Forks = final.Forks
	r.Tokens = final.Tokens
	r.Output = final.Output
	r.Moves = max(r.Moves, final.Moves)
	r.Failure = final.Failure
	e.pack()
	return e.updateReply(true), nil
}
