package admission

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// estimateGain is the weight of a new sample in the moving average.
	estimateGain = 0.05
	// initialTokenLatency is the time between tokens assumed before the first measurement.
	initialTokenLatency = 25 * time.Millisecond
	// initialOverhead is the time apart from token generation assumed before the first measurement.
	initialOverhead = 100 * time.Millisecond
)

// Estimator learns how long requests of each kind occupy a slot. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	means map[ident.Kind]float64
}

// NewEstimator returns an estimator without measurements.
func NewEstimator() *Estimator {
	return &Estimator{means: make(map[ident.Kind]float64)}
}

// Observe records how long a request of the given kind occupied its slot.
func (e *Estimator) Observe(kind ident.Kind, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.means[kind]
	if !ok {
		e.means[kind] = took.Seconds()
		return
	}
	e.means[kind] = mean + estimateGain*(took.Seconds()-mean)
}

// Cost returns how long a request of the given kind, limited to maxTokens, is expected
// to occupy a slot.
func (e *Estimator) Cost(kind ident.Kind, maxTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.means[kind]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return initialOverhead + time.Duration(maxTokens)*initialTokenLatency
}
