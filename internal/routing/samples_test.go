package routing

import (
	"slices"
	"time"
)

// samples collects measured durations.
type samples struct {
	all []time.Duration
}

func newSamples(n int) *samples {
	return &samples{all: make([]time.Duration, 0, n)}
}

func (s *samples) add(d time.Duration) {
	s.all = append(s.all, d)
}

func (s *samples) quantile(q float64) time.Duration {
	slices.Sort(s.all)
	return s.all[int(float64(len(s.all)-1)*q)]
}
