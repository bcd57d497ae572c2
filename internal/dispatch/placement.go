package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
)

// Placement is a reserved slot for one request at one upstream.
type Placement interface {
	// Upstream returns the upstream to send the request to.
	Upstream() fleet.Upstream
	// CachedTokens returns how many leading tokens of the prompt the upstream probably
	// has cached.
	CachedTokens() int
	// Release releases the slot; it is called once. perToken is the mean time between
	// the tokens received from the upstream, or 0 when it is unknown.
	Release(outcome Outcome, perToken time.Duration)
}
