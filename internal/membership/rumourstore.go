package membership

import (
	"time"
)

// storedRumour is a rumour with its expiry and its part of the digest.
type storedRumour struct {
	Rumour
	// bucket is the rumour's bucket of the digest, digestHash its hash in it.
	bucket     int
	digestHash uint64
	expireAt   time.Time
}

// rumourStore holds the newest version of each rumour. It does no I/O and uses no clocks
// or goroutines.
type rumourStore struct {
	entries map[rumourID]*storedRumour
}

func newRumourStore() *rumourStore {
	return &rumourStore{entries: make(map[rumourID]*storedRumour)}
}

// merge stores r if it supersedes the known version and reports whether it did. ttl is r's
// remaining time to live.
func (s *rumourStore) merge(now time.Time, r Rumour, ttl time.Duration) bool {
	current, known := s.entries[r.id()]
	if known && !r.supersedes(current.Rumour) {
		return false
	}
	s.entries[r.id()] = &storedRumour{Rumour: r, bucket: r.id().bucket(), digestHash: r.hash(), expireAt: now.Add(ttl)}
	return true
}

func (s *rumourStore) removeExpired(now time.Time) {
	for name, stored := range s.entries {
		if !now.Before(stored.expireAt) {
			delete(s.entries, name)
		}
	}
}
