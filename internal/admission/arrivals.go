package admission

import (
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// arrivalRateWindow is the time constant of the moving average of the arrival rate.
const arrivalRateWindow = 10 * time.Second

// arrivals is the arrival rate of one kind of request from one workspace in one pool.
type arrivals struct {
	kind ident.Kind
	// boost is the priority boost of the latest request of this kind, in seconds; see poolQueue.boost.
	boost float64
	// rate is the accepted cost per second at the time updated, in seconds per second.
	rate    float64
	updated time.Time
}

// rateAt returns the rate decayed to time now.
func (a *arrivals) rateAt(now time.Time) float64 {
	passed := max(0, now.Sub(a.updated).Seconds())
	return a.rate * math.Exp(-passed/arrivalRateWindow.Seconds())
}

// add records the arrival of a request with the given cost and boost, both in seconds.
func (a *arrivals) add(now time.Time, cost, boost float64) {
	a.rate = a.rateAt(now) + cost/arrivalRateWindow.Seconds()
	a.boost = boost
	if now.After(a.updated) {
		a.updated = now
	}
}
