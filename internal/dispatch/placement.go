package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
)

// Placement is a place for one request at one upstream.
type Placement interface {
	// Upstream is where to send the request.
	Upstream() fleet.Upstream
	// CachedTokens is how many leading tokens of the prompt the upstream is
	// believed to have cached.
	CachedTokens() int
	// Done gives the place back; it is called once. The mean time between the
	// tokens that came from there is perToken, or 0 when it is unknown.
	Done(outcome Outcome, perToken time.Duration)
}
