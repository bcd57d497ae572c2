package owner

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// reservation is a request that has or awaits a slot at an upstream.
type reservation struct {
	id       ReservationID
	upstream ident.Upstream
	suspect  bool
	// cachedTokens is the estimated number of leading tokens of the prompt that the
	// upstream had cached when it was chosen.
	cachedTokens int
	// waiting is true while all slots of the upstream are taken by others.
	waiting bool
	urgency request.Urgency
	// ttl is how long it lasts after a renewal.
	ttl time.Duration
	// expiresAt is its end unless it is renewed.
	expiresAt time.Time
	// heapIndex is its position in the expiryQueue.
	heapIndex int
}
