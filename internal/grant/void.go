package grant

import (
	"mangoledge.example/mangoledge/internal/request"
)

// Void makes sure that a request that has not been granted never will be, so that
// the caller can be told "not run". An idempotent request, which needs no grant, is
// voided if the table has no sign that it was run and no other node holds it.
func (t *Table) Void(req *VoidRequest) (VoidReply, error) {
	if err := t.checkActive(); err != nil {
		return VoidReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return t.voidUnknown(req), nil
	}
	if wrongWorkspace(e, req.Spec) {
		return VoidReply{}, ErrWrongWorkspace
	}
	if e.Record.Spec.Idempotent {
		return e.voidIdempotent(req), nil
	}
	if !e.Slot.Taken {
		e.endNotRun(request.PhaseFailed, req.Failure)
	}
	return VoidReply{Voided: e.Slot.isVoid(), Record: e.recordCopy()}, nil
}

// voidIdempotent releases the request if it has not been sent to an upstream and is
// not held by a node other than the sender.
func (e *Entry) voidIdempotent(req *VoidRequest) VoidReply {
	untouched := e.Record.Upstream == "" && len(e.Record.Tokens) == 0 && !e.Record.Phase.Final()
	own := e.Record.Holder == "" || e.Record.Holder == req.Holder
	if !untouched || !own {
		return VoidReply{Record: e.recordCopy()}
	}
	e.Record.Holder = ""
	return VoidReply{Voided: true, Record: e.recordCopy()}
}

// voidUnknown voids a request that has no entry.
func (t *Table) voidUnknown(req *VoidRequest) VoidReply {
	if t.isSpent(req.ID) {
		return VoidReply{Record: spentRecord(req.ID)}
	}
	if req.Spec != nil && req.Spec.Idempotent {
		return VoidReply{Voided: true}
	}
	if t.mayBeSpent(req.ID) {
		return VoidReply{Record: spentRecord(req.ID)}
	}
	if !t.admitNonIdempotent() {
		// A full table never grants a request that has no entry.
		return VoidReply{Voided: true}
	}
	if req.Spec == nil {
		t.spent.add(req.ID)
		return VoidReply{Voided: true}
	}
	e := newEntry(*req.Spec, req.Holder, firstEpoch)
	e.Record.Spec.ID = req.ID
	e.endNotRun(request.PhaseFailed, req.Failure)
	t.put(e)
	return VoidReply{Voided: true, Record: e.recordCopy()}
}
