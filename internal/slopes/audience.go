package slopes

import (
	"slices"
	"strings"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/membership"
)

// audience notes when members hear rumours.
type audience struct {
	mu      sync.Mutex
	arrived []time.Time
}

// newAudience listens at all members for rumours whose key begins with prefix.
func newAudience(s *site, prefix string) *audience {
	a := new(audience)
	for _, c := range s.clusters {
		c.Subscribe(membership.TopicLeaving, func(r membership.Rumour) {
			if !strings.HasPrefix(r.Key, prefix+"/") {
				return
			}
			a.mu.Lock()
			a.arrived = append(a.arrived, time.Now())
			a.mu.Unlock()
		})
	}
	return a
}

// whole reports whether wanted rumours were heard, over all members.
func (a *audience) whole(wanted int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.arrived) >= wanted
}

// times returns how long after begin the last was heard, and 99 of 100.
func (a *audience) times(begin time.Time) (last, p99 time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.arrived) == 0 {
		return 0, 0
	}
	slices.SortFunc(a.arrived, time.Time.Compare)
	at := len(a.arrived) * 99 / 100
	return a.arrived[len(a.arrived)-1].Sub(begin), a.arrived[at].Sub(begin)
}
