package witness

import (
	"mangoledge.example/mangoledge/internal/grant"
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

// dropOldest drops the oldest answers beyond KeptLimit. A resend of such a request is run again if it is
// idempotent, and otherwise learns that its result is no longer kept.
func (s *Service) dropOldest() {
	var all []request.Kept
	for _, h := range s.allTables() {
		for i := range h.shards {
			h.shards[i].withLock(func(t *grant.Table) { all = t.Kept(all) })
		}
	}
	dropped, rest := request.Oldest(all, s.KeptLimit)
	s.keptBytes.Store(rest)
	for i := range dropped {
		if h, held := s.table(dropped[i].ID.Witness); held {
			h.shardOf(dropped[i].ID).withLock(func(t *grant.Table) { t.Drop(dropped[i].ID) })
		}
	}
}
