package grant

// Grant gives the asker the right to run a non-idempotent request, once for
// ever. Asking again as the same holder under the same epoch says granted again.
// The holder of an idempotent request is always granted.
func (t *Table) Grant(req *Request) (Reply, error) {
	if err := t.check(); err != nil {
		return Reply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return t.refuseUnknown(req), nil
	}
	if e.ask(req.Holder, req.Epoch) {
		return Reply{Granted: true}, nil
	}
	return Reply{Record: e.record()}, nil
}

func (t *Table) refuseUnknown(req *Request) Reply {
	if t.isSpent(req.ID) {
		return Reply{Record: spentRecord(req.ID)}
	}
	return Reply{}
}
