package grant

import (
	"mangoledge.example/mangoledge/internal/request"
)

// Void takes the right to run a request for nobody, so that "not run" may be
// said. For an idempotent request, which needs no grant, it only says whether
// anything is known to have been run by another holder than the asker.
func (t *Table) Void(req *VoidRequest) (VoidReply, error) {
	if err := t.check(); err != nil {
		return VoidReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return t.voidUnknown(req), nil
	}
	if foreign(e, req.Spec) {
		return VoidReply{}, ErrForeign
	}
	if e.Record.Spec.Idempotent {
		return e.voidIdempotent(req), nil
	}
	if !e.Slot.Taken {
		e.fail(request.PhaseFailed, req.Failure)
	}
	return VoidReply{Voided: e.Slot.void(), Record: e.record()}, nil
}

// voidIdempotent gives the request up if its holder asks and nothing has come of it.
func (e *Entry) voidIdempotent(req *VoidRequest) VoidReply {
	untouched := e.Record.Upstream == "" && len(e.Record.Tokens) == 0 && !e.Record.Phase.Final()
	own := e.Record.Holder == "" || e.Record.Holder == req.Holder
	if !untouched || !own {
		return VoidReply{Record: e.record()}
	}
	e.Record.Holder = ""
	return VoidReply{Voided: true, Record: e.record()}
}

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
	if !t.reserve() {
		// A full table never grants a request that it does not know.
		return VoidReply{Voided: true}
	}
	if req.Spec == nil {
		t.spent.add(req.ID)
		return VoidReply{Voided: true}
	}
	e := newEntry(*req.Spec, req.Holder, firstEpoch)
	e.Record.Spec.ID = req.ID
	e.fail(request.PhaseFailed, req.Failure)
	t.put(e)
	return VoidReply{Voided: true, Record: e.record()}
}
