package line

import (
	"math"
	"sync"
	"time"
)

const (
	// latenessWeight is the smoothing weight of one response.
	latenessWeight = 0.1
	// latenessMemory is the time constant with which late responses are forgotten.
	latenessMemory = 2 * time.Second
)

// Lateness holds the share of this node's latest responses that began later than the target latency, by
// service. It is safe for concurrent use.
type Lateness struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*lateShare
}

type lateShare struct {
	value float64
	at    time.Time
}

// NewLateness returns Lateness without responses.
func NewLateness(now func() time.Time) *Lateness {
	return &Lateness{now: now, services: make(map[string]*lateShare)}
}

// Record records a response that has begun.
func (l *Lateness) Record(service string, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := l.services[service]
	if s == nil {
		s = &lateShare{}
		l.services[service] = s
	}
	sample := 0.0
	if late {
		sample = 1
	}
	s.value = s.decayed(now)
	s.value += latenessWeight * (sample - s.value)
	s.at = now
}

// Share returns the share of late responses of the service.
func (l *Lateness) Share(service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[service]; s != nil {
		return s.decayed(l.now())
	}
	return 0
}

func (s *lateShare) decayed(now time.Time) float64 {
	return s.value * math.Exp(-now.Sub(s.at).Seconds()/latenessMemory.Seconds())
}
