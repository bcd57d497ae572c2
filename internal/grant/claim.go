package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// firstEpoch is the epoch of a request's first holder.
const firstEpoch = 1

// Claim makes the asker the holder of a request that has none, or whose holder
// it believes dead. A granted request keeps its holder. Repeating a claim is harmless.
func (t *Table) Claim(req *ClaimRequest) (ClaimReply, error) {
	if err := t.check(); err != nil {
		return ClaimReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return t.claimNew(req)
	}
	if foreign(e, req.Spec) {
		return ClaimReply{}, ErrForeign
	}
	claimed := e.claim(req.Holder, req.SeenEpoch)
	return ClaimReply{
		Found:     true,
		Claimed:   claimed,
		Granted:   e.Slot.Taken,
		Cancelled: e.Cancelled,
		Record:    e.record(),
	}, nil
}

func (t *Table) claimNew(req *ClaimRequest) (ClaimReply, error) {
	if t.isSpent(req.ID) {
		return ClaimReply{Found: true, Granted: true, Record: spentRecord(req.ID)}, nil
	}
	if req.Spec == nil {
		return ClaimReply{}, nil
	}
	if !req.Spec.Idempotent && t.mayBeSpent(req.ID) {
		return ClaimReply{Found: true, Granted: true, Record: spentRecord(req.ID)}, nil
	}
	if !req.Spec.Idempotent && !t.reserve() {
		return ClaimReply{}, ErrFull
	}
	e := newEntry(*req.Spec, req.Holder, req.SeenEpoch+firstEpoch)
	e.Record.Spec.ID = req.ID
	t.put(e)
	return ClaimReply{Found: true, Claimed: true, Record: e.record()}, nil
}

// foreign reports whether spec belongs to another workspace than the entry.
func foreign(e *Entry, spec *request.Spec) bool {
	return spec != nil && spec.Workspace != e.Record.Spec.Workspace
}

// spentRecord is what is left of a request that was granted and whose entry has expired.
func spentRecord(id ident.RequestID) request.Record {
	return request.Record{
		Spec:    request.Spec{ID: id},
		Phase:   request.PhaseFailed,
		Failure: verdict.New(verdict.MayHaveRun, verdict.CodeGrantTaken, "the request was decided long ago; its result is no longer kept"),
	}
}
