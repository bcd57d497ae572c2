package exchange

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// keptDurations is the number of responses, of all routes, whose durations are kept.
	keptDurations = 512
	// minDurations is the least number of responses from which a route's durations are known.
	minDurations = 5
)

// Durations keeps how long the latest complete responses took, from the arrival of the request to
// the end of the response. It is safe for concurrent use.
type Durations struct {
	mu sync.Mutex
	// latest is a ring of the last responses; next is the index of the oldest once it is full.
	latest []routeDuration
	next   int
}

type routeDuration struct {
	route string
	took  time.Duration
}

// NewDurations returns Durations without any response.
func NewDurations() *Durations { return &Durations{} }

// Add records the duration of a response.
func (d *Durations) Add(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.latest) < keptDurations {
		d.latest = append(d.latest, routeDuration{route, took})
		return
	}
	d.latest[d.next] = routeDuration{route, took}
	d.next = (d.next + 1) % keptDurations
}

// Within returns the time within which the given share, over 0 and at most 1, of a route's latest
// responses were complete. It is unknown after fewer than minDurations responses.
func (d *Durations) Within(route string, share float64) (took time.Duration, known bool) {
	var all []time.Duration
	d.mu.Lock()
	for _, r := range d.latest {
		if r.route == route {
			all = append(all, r.took)
		}
	}
	d.mu.Unlock()
	if len(all) < minDurations {
		return 0, false
	}
	slices.Sort(all)
	return all[int(math.Ceil(share*float64(len(all))))-1], true
}
