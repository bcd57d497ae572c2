package grant

import "mangoledge.example/mangoledge/internal/request"

// Finish keeps the final state of a request. The granted holder may always
// finish; otherwise the holder under the record's epoch may. Ending a
// non-idempotent request that was not granted takes its grant for nobody.
func (t *Table) Finish(req *FinishRequest) (UpdateReply, error) {
	if err := t.check(); err != nil {
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
		return e.update(false), nil
	}
	if e.Record.Phase.Final() {
		return e.update(e.Record.Phase == req.Record.Phase), nil
	}
	return e.finish(&req.Record)
}

func (e *Entry) finish(final *request.Record) (UpdateReply, error) {
	r := &e.Record
	if !r.Spec.Idempotent && !e.Slot.Taken {
		if final.Phase == request.PhaseDone {
			return UpdateReply{}, ErrNotGranted
		}
		e.fail(final.Phase, final.Failure)
		return e.update(true), nil
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
	return e.update(true), nil
}
