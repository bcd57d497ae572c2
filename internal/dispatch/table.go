package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// shardCount is the number of shards of a table.
const shardCount = 64

// table holds the entries of this node by request ID.
type table struct {
	shards [shardCount]shard
}

// shard is one part of a table with its lock.
type shard struct {
	mu      sync.Mutex
	entries map[ident.RequestID]*entry
}

func newTable() *table {
	t := new(table)
	for i := range t.shards {
		t.shards[i].entries = make(map[ident.RequestID]*entry)
	}
	return t
}

func (t *table) shard(id ident.RequestID) *shard {
	return &t.shards[xxhash.Sum64String(id.Random)%shardCount]
}

func (t *table) get(id ident.RequestID) (*entry, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return e, ok
}

// put adds e unless the table has an entry for its ID that was not released. It returns
// the entry in the table and whether that is e.
func (t *table) put(e *entry) (*entry, bool) {
	s := t.shard(e.spec.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.entries[e.spec.ID]; ok && !old.isReleased() {
		return old, false
	}
	s.entries[e.spec.ID] = e
	return e, true
}

// all returns every entry.
func (t *table) all() []*entry {
	var out []*entry
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			out = append(out, e)
		}
		s.mu.Unlock()
	}
	return out
}

// drop removes the entry of a request.
func (t *table) drop(id ident.RequestID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, id)
}

// expire removes the entries that ended before the given time. A released entry has not
// ended and stays until put replaces it.
func (t *table) expire(before time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			e.mu.Lock()
			old := e.record.Phase.Final() && e.finished.Before(before)
			e.mu.Unlock()
			if old {
				delete(s.entries, id)
			}
		}
		s.mu.Unlock()
	}
}
