package admission

import (
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// arrivalMemory is the time over which the rate of arrivals is taken.
const arrivalMemory = 10 * time.Second

// arrivals is the work of one kind that a workspace brings to a lane.
type arrivals struct {
	kind ident.Kind
	// lead is how far ahead of its arrival a request of the kind is queued, in seconds.
	lead float64
	// rate is the accepted cost in seconds per second, as of measured.
	rate     float64
	measured time.Time
}

// at returns the rate at now.
func (a *arrivals) at(now time.Time) float64 {
	passed := max(0, now.Sub(a.measured).Seconds())
	return a.rate * math.Exp(-passed/arrivalMemory.Seconds())
}

// add takes in a request of that cost in seconds, queued lead seconds ahead of now.
func (a *arrivals) add(now time.Time, cost, lead float64) {
	a.rate = a.at(now) + cost/arrivalMemory.Seconds()
	a.lead = lead
	if now.After(a.measured) {
		a.measured = now
	}
}
