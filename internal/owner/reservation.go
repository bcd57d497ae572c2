package owner

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// reservation is one slot that is held.
type reservation struct {
	id       ReservationID
	upstream ident.Upstream
	suspect  bool
	// cached is how many leading tokens of the prompt the upstream had cached when it was chosen.
	cached int
	// waiting is true while it is in line for a slot.
	waiting bool
	urgency request.Urgency
	// hold is how long it lasts from its last renewal, until when that is.
	hold  time.Duration
	until time.Time
	place int
}
