package fleet

import (
	"time"
)

// heldMark is a stored mark with its expiry time by this node's clock.
type heldMark struct {
	Mark
	expiresAt time.Time
}

func (m heldMark) inForce(now time.Time) bool {
	return !m.Cleared && now.Before(m.expiresAt)
}
