package witness

import (
	"sync"

	"mangoledge.example/mangoledge/internal/grant"
)

// shard is one part of a table with its lock.
type shard struct {
	mu    sync.Mutex
	table *grant.Table
}

// withLock calls f with the table while the lock is held.
func (s *shard) withLock(f func(*grant.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}
