package grant

import "mangoledge.example/mangoledge/internal/request"

// Progress records what the holder reports about a running request. Reports may
// arrive late, more than once and out of order: tokens are accepted only without a
// gap, and only those of one generation are kept.
func (t *Table) Progress(req *ProgressRequest) (UpdateReply, error) {
	if err := t.checkActive(); err != nil {
		return UpdateReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return UpdateReply{}, nil
	}
	if e.Record.Phase.Final() || !e.mayUpdate(req.Holder, req.Epoch) {
		return e.updateReply(false), nil
	}
	applied := e.applyProgress(req)
	if req.Released && !e.Slot.Taken {
		e.Record.Holder = ""
	}
	return e.updateReply(applied), nil
}

// applyProgress updates the record from a report of the holder, and reports
// whether the report was applied.
func (e *Entry) applyProgress(req *ProgressRequest) bool {
	r := &e.Record
	if req.Moves < r.Moves {
		return false
	}
	if req.Generation != r.Generation && !e.startGeneration(req) {
		return false
	}
	if !appendTokens(r, req.Offset, req.Tokens) {
		return false
	}
	if req.Upstream != "" {
		r.Upstream = req.Upstream
		r.UpstreamURL = req.UpstreamURL
		r.Phase = request.PhaseRunning
	}
	r.Moves = req.Moves
	r.Forks = req.Forks
	return true
}

// startGeneration switches the record to another generation and drops the tokens
// of the previous one. It reports whether the report may do so.
func (e *Entry) startGeneration(req *ProgressRequest) bool {
	r := &e.Record
	if r.Generation != "" && (req.Offset != 0 || req.Moves <= r.Moves) {
		return false
	}
	r.Generation = req.Generation
	r.Tokens = nil
	return true
}

// appendTokens appends those of tokens, which start at offset, that the record does
// not have yet. It returns false if there is a gap. Tokens in the record are never
// overwritten.
func appendTokens(r *request.Record, offset int, tokens []string) bool {
	known := len(r.Tokens)
	if offset < 0 || offset > known {
		return false
	}
	if offset+len(tokens) > known {
		r.Tokens = append(r.Tokens, tokens[known-offset:]...)
	}
	return true
}
