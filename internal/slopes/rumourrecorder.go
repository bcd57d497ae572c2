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
	rec := new(rumourRecorder)
	for _, c := range s.clusters {
		c.Subscribe(membership.TopicLeaving, func(r membership.Rumour) {
			if !strings.HasPrefix(r.Key, prefix+"/") {
				return
			}
			rec.mu.Lock()
			rec.arrivals = append(rec.arrivals, time.Now())
			rec.mu.Unlock()
		})
	}
	return rec
}

// complete reports whether at least wanted rumours were received, by all members together.
func (rec *rumourRecorder) complete(wanted int) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.arrivals) >= wanted
}

// spreadTimes returns the time from begin to the last reception, and the 99th percentile
// of these times; both are zero if there was none.
func (rec *rumourRecorder) spreadTimes(begin time.Time) (last, p99 time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.arrivals) == 0 {
		return 0, 0
	}
	slices.SortFunc(rec.arrivals, time.Time.Compare)
	at := len(rec.arrivals) * 99 / 100
	return rec.arrivals[len(rec.arrivals)-1].Sub(begin), rec.arrivals[at].Sub(begin)
}
