package grant

import "mangoledge.example/mangoledge/internal/request"

// Progress keeps what the holder reports about a running request. Reports may
// come late, twice and out of order: tokens are kept only without a gap, and
// tokens of one generation only.
func (t *Table) Progress(req *ProgressRequest) (UpdateReply, error) {
	if err := t.check(); err != nil {
		return UpdateReply{}, err
	}
	e, ok := t.entries[req.ID]
	if !ok {
		return UpdateReply{}, nil
	}
	if e.Record.Phase.Final() || !e.mayUpdate(req.Holder, req.Epoch) {
		return e.update(false), nil
	}
	applied := e.progress(req)
	if req.Released && !e.Slot.Taken {
		e.Record.Holder = ""
	}
	return e.update(applied), nil
}

func (e *Entry) progress(req *ProgressRequest) bool {
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

// startGeneration begins another sampling run, which drops the tokens of the one before.
func (e *Entry) startGeneration(req *ProgressRequest) bool {
	r := &e.Record
	if r.Generation != "" && (req.Offset != 0 || req.Moves <= r.Moves) {
		return false
	}
	r.Generation = req.Generation
	r.Tokens = nil
	return true
}

// appendTokens adds what is new of tokens, which start at offset, and reports
// whether there was no gap. Tokens already kept are never overwritten.
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
