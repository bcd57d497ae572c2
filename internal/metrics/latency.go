package metrics

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// LatencyBounds are the upper bounds of the buckets of a Latency.
var LatencyBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 35 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond, 30 * time.Second,
}

// Latency is a histogram of durations with fixed buckets. It can be stored in a go-metrics
// registry, counts every observation since the process started instead of a sample, and takes no
// lock.
type Latency struct {
	metrics.NilHistogram
	bounds []time.Duration
	counts []atomic.Uint64
	sum    atomic.Int64
}

// NewLatency returns a histogram with LatencyBounds.
func NewLatency() *Latency {
	return &Latency{bounds: LatencyBounds, counts: make([]atomic.Uint64, len(LatencyBounds)+1)}
}

// GetOrRegisterLatency returns the histogram called name and registers it if it is new. If another kind of
// metric has that name, the returned histogram is not registered.
func GetOrRegisterLatency(name string, registry metrics.Registry) *Latency {
	found, ok := registry.GetOrRegister(name, NewLatency()).(*Latency)
	if !ok {
		return NewLatency()
	}
	return found
}

// Observe adds one duration to the histogram.
func (l *Latency) Observe(d time.Duration) {
	i := 0
	for i < len(l.bounds) && d > l.bounds[i] {
		i++
	}
	l.counts[i].Add(1)
	l.sum.Add(int64(d))
}

// Count returns the number of observations.
func (l *Latency) Count() int64 {
	var total uint64
	for i := range l.counts {
		total += l.counts[i].Load()
	}
	return int64(total)
}

// Snapshot returns the histogram itself, not a copy.
func (l *Latency) Snapshot() metrics.Histogram { return l }
