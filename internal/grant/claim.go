package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// firstEpoch is the epoch of a request's first holder.
const firstEpoch = 1

// Claim makes the claimant the holder of a request that has no holder, or whose
// holder the claimant believes dead. A granted request keeps its holder. Claim is
// idempotent.
func (t *Table) Claim(req *ClaimRequest) (ClaimReply, error) {
	if err := t.checkActive(); err != nil {
		return ClaimReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return t.claimNew(req)
	}
	if wrongWorkspace(e, req.Spec) {
		return ClaimReply{}, ErrWrongWorkspace
	}
	claimed := e.claim(req.Holder, req.SeenEpoch)
	return ClaimReply{
		Found:     true,
		Claimed:   claimed,
		Granted:   e.Slot.Taken,
		Cancelled: e.Cancelled,
		Record:    e.recordCopy(),
	}, nil
}

// claimNew claims a request that has no entry, and creates the entry if the claim
// carries a Spec and the request cannot have been granted before.
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
	if !req.Spec.Idempotent && !t.admitNonIdempotent() {
		return ClaimReply{}, ErrFull
	}
	if !t.inputs.reserve(len(req.Spec.Input)) {
		return ClaimReply{}, ErrNoMemory
	}
	e := newEntry(*req.Spec, req.Holder, req.SeenEpoch+firstEpoch)
	e.inputs = t.inputs
	e.Record.Spec.ID = req.ID
	t.put(e)
	return ClaimReply{Found: true, Claimed: true, Record: e.recordCopy()}, nil
}

// wrongWorkspace reports whether spec names a workspace other than the entry's.
func wrongWorkspace(e *Entry, spec *request.Spec) bool {
	return spec != nil && spec.Workspace != e.Record.Spec.Workspace
}

// spentRecord is the record returned for a request that was, or may have been,
// granted and whose entry has expired.
func spentRecord(id ident.RequestID) request.Record {
	return request.Record{
		Spec:    request.Spec{ID: id},
		Phase:   request.PhaseFailed,
		Failure: verdict.New(verdict.MayHaveRun, verdict.CodeGrantTaken, "the request was decided long ago; its result is no longer kept"),
	}
}
