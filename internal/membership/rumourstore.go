package membership

import (
	"time"
)

type heldRumour struct {
	Rumour
	// bucket and sum are its place and its part in the digest.
	bucket   int
	sum      uint64
	expireAt time.Time
}

// rumourStore holds the newest rumour of each name. It is free of I/O, clocks and goroutines.
type rumourStore struct {
	held map[rumourName]*heldRumour
}

func newRumourStore() *rumourStore {
	return &rumourStore{held: make(map[rumourName]*heldRumour)}
}

// join keeps r if it is news and reports whether it was. life is how long it still lives.
func (s *rumourStore) join(now time.Time, r Rumour, life time.Duration) bool {
	current, known := s.held[r.name()]
	if known && !r.newer(current.Rumour) {
		return false
	}
	s.held[r.name()] = &heldRumour{Rumour: r, bucket: r.name().bucket(), sum: r.hash(), expireAt: now.Add(life)}
	return true
}

func (s *rumourStore) expire(now time.Time) {
	for name, held := range s.held {
		if !now.Before(held.expireAt) {
			delete(s.held, name)
		}
	}
}
