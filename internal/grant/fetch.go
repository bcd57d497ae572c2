package grant

// Fetch returns the record of a request.
func (t *Table) Fetch(req *FetchRequest) (FetchReply, error) {
	if err := t.checkActive(); err != nil {
		return FetchReply{}, err
	}
	e, ok := t.entries[req.ID]
	if ok {
		return FetchReply{Found: true, Record: e.recordCopy()}, nil
	}
	if t.isSpent(req.ID) {
		return FetchReply{Found: true, Record: spentRecord(req.ID)}, nil
	}
	return FetchReply{}, nil
}
