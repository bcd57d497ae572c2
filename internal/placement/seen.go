package placement

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
)

// refreshInterval is after how long all is taken over anew though nothing
// changed, for marks that end by time.
const refreshInterval = 10 * time.Second

// seen is what the last full update saw. Views give the same slice until they
// change, so that looking whether they did costs nothing.
type seen struct {
	listed  []fleet.Upstream
	members []membership.Member
	marks   uint64
	at      time.Time
}

// changed reports whether there is anything to take over, and remembers it.
func (s *seen) changed(now time.Time, options Options) bool {
	next := seen{
		listed:  options.Listed.Upstreams(),
		members: options.Members.Members(),
		marks:   options.Marks(),
		at:      now,
	}
	same := sameSlice(s.listed, next.listed) && sameSlice(s.members, next.members) && s.marks == next.marks
	if same && now.Sub(s.at) < refreshInterval {
		return false
	}
	*s = next
	return true
}

// sameSlice reports whether a and b are the same piece of memory.
func sameSlice[T any](a, b []T) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
