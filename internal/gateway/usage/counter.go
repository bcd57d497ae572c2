// Package usage counts the requests that started to run, by time window and workspace, and
// reports each window once. Windows are aligned to wall-clock time.
//
// Invariants: the counts of a window are written to the store before they are sent, and any lease
// holder sends what is stored; a window is closed only when no node adds to it any more. The
// counter does no I/O.
//
// Lock order: Counter.mu is a leaf.
package usage

import (
	"maps"
	"sync"
	"time"
)

// retention is how long after its end a node still shares the counts of a window with the other
// nodes: until the window is reported, even if the lease changes its holder meanwhile.
const retention = 15 * time.Second

// Counter counts the requests of one node. It is safe for concurrent use.
type Counter struct {
	windowLength time.Duration

	mu     sync.Mutex
	counts map[int64]map[string]int64
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{windowLength: length, counts: make(map[int64]map[string]int64)}
}

// WindowNumber returns the number of the window that contains the time.
func WindowNumber(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// Add counts a request of a workspace that started at the given time.
func (c *Counter) Add(workspace string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window := WindowNumber(at, c.windowLength)
	if c.counts[window] == nil {
		c.counts[window] = make(map[string]int64)
	}
	c.counts[window][workspace]++
}

// Recent returns the counts of the windows within retention, and deletes older ones.
func (c *Counter) Recent(now time.Time) map[int64]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := WindowNumber(now.Add(-retention), c.windowLength) - 1
	out := make(map[int64]map[string]int64)
	for window, counts := range c.counts {
		if window >= oldest {
			out[window] = maps.Clone(counts)
			continue
		}
		delete(c.counts, window)
	}
	return out
}
