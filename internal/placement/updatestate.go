package placement

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
)

// refreshInterval is the time after which Update refreshes everything even if no change
// was detected, because some marks expire.
const refreshInterval = 10 * time.Second

// updateState is the input of the last full update. Views return the same slice until
// they change, so changes are detected by comparing slice identity.
type updateState struct {
	unmarkedFleet   []fleet.Upstream
	members         []membership.Member
	leavingRevision uint64
	at              time.Time
}

// changed reports whether a full update is needed, and stores the new state if so.
func (s *updateState) changed(now time.Time, options Options) bool {
	current := updateState{
		unmarkedFleet:   options.UnmarkedFleet.Upstreams(),
		members:         options.Members.Members(),
		leavingRevision: options.LeavingRevision(),
		at:              now,
	}
	same := sameSlice(s.unmarkedFleet, current.unmarkedFleet) && sameSlice(s.members, current.members) && s.leavingRevision == current.leavingRevision
	if same && now.Sub(s.at) < refreshInterval {
		return false
	}
	*s = current
	return true
}

// sameSlice reports whether a and b share the same memory and length.
func sameSlice[T any](a, b []T) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
