package fleet

import (
	"time"
)

// heldMark is a mark with the time at which it ends, by this node's clock.
type heldMark struct {
	Mark
	until time.Time
}

func (m heldMark) inForce(now time.Time) bool {
	return !m.Cleared && now.Before(m.until)
}
