package witness

import (
	"sync"

	"mangoledge.example/mangoledge/internal/grant"
)

// shard is a part of a table with its lock.
type shard struct {
	mu    sync.Mutex
	table *grant.Table
}

// do runs f on the table under the lock.
func (s *shard) do(f func(*grant.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}
