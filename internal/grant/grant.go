package grant

// Grant gives the holder of a non-idempotent request the exclusive right to run
// it. The right is given once and never taken back; a repeated call by the same
// holder under the same epoch is granted again. An idempotent request is granted to
// each holder in turn, until it has ended or was cancelled.
func (t *Table) Grant(req *Request) (Reply, error) {
	if err := t.checkActive(); err != nil {
		return Reply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return t.refuseUnknown(req), nil
	}
	if e.grantTo(req.Holder, req.Epoch) {
		return Reply{Granted: true}, nil
	}
	return Reply{Record: e.recordCopy()}, nil
}

// refuseUnknown answers for a request that has no entry.
func (t *Table) refuseUnknown(req *Request) Reply {
	if t.isSpent(req.ID) {
		return Reply{Record: spentRecord(req.ID)}
	}
	return Reply{}
}
