package admission

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// estimateGain is the weight of a new sample in an estimate.
	estimateGain = 0.05
	// firstPace is the time between tokens that is assumed before anything was measured.
	firstPace = 25 * time.Millisecond
	// firstOverhead is the time besides tokens that is assumed before anything was measured.
	firstOverhead = 100 * time.Millisecond
)

// Estimator learns how long requests of each kind hold a slot. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	kinds map[ident.Kind]float64
}

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{kinds: make(map[ident.Kind]float64)}
}

// Observe takes in how long a request of kind held its slot.
func (e *Estimator) Observe(kind ident.Kind, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.kinds[kind]
	if !ok {
		e.kinds[kind] = took.Seconds()
		return
	}
	e.kinds[kind] = mean + estimateGain*(took.Seconds()-mean)
}

// Cost returns how long a request of kind with at most maxTokens is expected to hold a slot.
func (e *Estimator) Cost(kind ident.Kind, maxTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.kinds[kind]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return firstOverhead + time.Duration(maxTokens)*firstPace
}
