package witness

import (
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// answerBytes returns the size of the answer in a record.
func answerBytes(r *request.Record) int64 {
	n := len(r.Output)
	for _, token := range r.Tokens {
		n += len(token)
	}
	return int64(n)
}

// listKept returns the answers in all tables.
func (s *Service) listKept() []request.Kept {
	var all []request.Kept
	for _, h := range s.allTables() {
		for i := range h.shards {
			h.shards[i].withLock(func(t *grant.Table) { all = t.Kept(all) })
		}
	}
	return all
}

// dropKept drops a request with its answer. A resend of it is run again if it is idempotent, and otherwise
// learns that its result is no longer kept.
func (s *Service) dropKept(id ident.RequestID) {
	if h, held := s.table(id.Witness); held {
		h.shardOf(id).withLock(func(t *grant.Table) { t.Drop(id) })
	}
}
