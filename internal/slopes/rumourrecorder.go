package slopes

import (
	"slices"
	"strings"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/membership"
)

// rumourRecorder records when members receive rumours.
type rumourRecorder struct {
	mu       sync.Mutex
	arrivals []time.Time
}

// newRumourRecorder subscribes at all members of s to rumours whose key begins with prefix
// and a slash.
func newRumourRecorder(s *site, prefix string) *rumourRecorder {
	a := new(rumourRecorder)
	for _, c := range s.clusters {
		c.Subscribe(membership.TopicLeaving, func(r membership.Rumour) {
			if !strings.HasPrefix(r.Key, prefix+"/") {
				return
			}
			a.mu.Lock()
			a.arrivals = append(a.arrivals, time.Now())
			a.mu.Unlock()
		})
	}
	return a
}

// complete reports whether at least wanted rumours were received, by all members together.
func (a *rumourRecorder) complete(wanted int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.arrivals) >= wanted
}

// spreadTimes returns the time from begin to the last reception, and the 99th percentile
// of these times; both are zero if there was none.
func (a *rumourRecorder) spreadTimes(begin time.Time) (last, p99 time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.arrivals) == 0 {
		return 0, 0
	}
	slices.SortFunc(a.arrivals, time.Time.Compare)
	at := len(a.arrivals) * 99 / 100
	return a.arrivals[len(a.arrivals)-1].Sub(begin), a.arrivals[at].Sub(begin)
}
