package quota

import "time"

const (
	// windowSlots is the number of slots that a window is divided into. The history holds one
	// slot more than the window, so that spending is forgotten late rather than early.
	windowSlots = 16
	// savedFraction is the part of the headroom (what is left in the window) that the budgets of
	// all nodes together may accumulate. The rest is handed out while a message is in transit, so
	// that both together equal the headroom.
	savedFraction = 0.5
	// maxSavedFraction bounds what the budgets of all nodes may accumulate, as a fraction of the
	// window limit.
	maxSavedFraction = 0.21
	// equalFraction is the part of the headroom that is divided equally. The rest is divided in
	// proportion to what nodes spent, as clients are not evenly distributed over nodes.
	equalFraction = 0.5
	// pacingThreshold is the fraction of the window limit up to which only the headroom paces a
	// workspace. One that keeps to its quota is seldom above it.
	pacingThreshold = 0.75
	// retryHorizon is the time in which the headroom is assumed to become available again when a
	// RetryAfter is computed.
	retryHorizon = time.Second
	// evenRateFactor is the rate that pacing allows above pacingThreshold, as a multiple of the
	// mean rate of a full window. It keeps a workspace that asks for too much from spending its
	// whole window at the beginning.
	evenRateFactor = 1.05
	// maxDebtFraction bounds how far a budget may become negative, as a fraction of the window
	// limit.
	maxDebtFraction = 0.05
	// minHeadroomFraction is the least headroom, as a fraction of the window limit, that a
	// RetryAfter is computed from: more becomes available while the client waits.
	minHeadroomFraction = 0.05
)

// Limit is the quota of a workspace.
type Limit struct {
	// Rate is in units a second; 0 or less means no limit.
	Rate float64 `json:"rate"`
	// Burst is what may be spent beyond the rate within a window, in units.
	Burst float64 `json:"burst"`
}

// account tracks the spending of one workspace.
type account struct {
	limit  Limit
	window time.Duration
	// initialized is false as long as only other nodes have reported spending and no limit is
	// known.
	initialized bool
	// earlier holds what was, or may have been, spent before this process started to track the
	// workspace; since holds what was spent afterwards. Of the latter, own is what this process
	// spent and reported is what other nodes reported; the rest is reserved for other nodes.
	earlier, since, own, reported history
	// lastExpired is the number of the last slot that had left the window when takeExpired was
	// last called.
	lastExpired int64
	// budget is what this node may spend now. It is negative while spending is ahead of pacing.
	budget     float64
	refilledAt time.Time
	// totalSpent is everything that this process spent since its start. Other nodes add its
	// increase to their accounts.
	totalSpent float64
	// peerRate is the smoothed rate at which the other nodes spend together, in units a second.
	// It was last updated at peerRateAt; peerUnits is what they spent since then.
	peerRate   float64
	peerRateAt time.Time
	peerUnits  float64
}

// assumeFullySpent fills the earlier history as if the window limit had been spent evenly.
func (a *account) assumeFullySpent(now time.Time) {
	for back := range int64(windowSlots) {
		a.earlier.add(now.Add(-time.Duration(back)*a.window/windowSlots), a.window, a.windowLimit()/windowSlots)
	}
}

// windowLimit is what may be spent within a window.
func (a *account) windowLimit() float64 { return a.limit.Rate*a.window.Seconds() + a.limit.Burst }

// windowSpent is what was spent, or is reserved, within the last window.
func (a *account) windowSpent(now time.Time) float64 {
	return a.earlier.sum(now, a.window, 0) + a.since.sum(now, a.window, 0)
}

// recordOwn records units spent by this process.
func (a *account) recordOwn(now time.Time, units float64) {
	a.since.add(now, a.window, units)
	a.own.add(now, a.window, units)
	a.budget = max(a.budget-units, -maxDebtFraction*a.windowLimit())
}

// belowPacingThreshold reports whether so little of the window is spent that only the headroom
// paces this node.
func (a *account) belowPacingThreshold(now time.Time) bool {
	return a.windowSpent(now) <= pacingThreshold*a.windowLimit()
}

// nodeFraction is this node's fraction of what all nodes may hand out. Its own spending counts
// only once all other nodes have received it, after horizon, so the fractions of all nodes never
// add up to more than one.
func (a *account) nodeFraction(now time.Time, horizon time.Duration, nodes int) float64 {
	equal := 1 / float64(nodes)
	own, reported := max(0, a.own.sum(now, a.window, horizon)), max(0, a.reported.sum(now, a.window, 0))
	if own+reported <= 0 {
		return equal
	}
	return equalFraction*equal + (1-equalFraction)*own/(own+reported)
}

// headroom is what is left in the window, less the estimate of what other nodes spent but have
// not yet reported.
func (a *account) headroom(now time.Time, lag time.Duration) float64 {
	return a.windowLimit() - a.windowSpent(now) - a.unreportedEstimate(lag)
}

// refill adds to the budget what pacing allows for the time since the last call. The budgets of
// all nodes together accumulate at most a part of the headroom; the rest is handed out over the
// time (lag) in which reports of spending reach the other nodes. So the nodes cannot spend more
// than the headroom, whenever a workspace starts to send requests and to whichever nodes.
// heardFraction is the fraction of the nodes that were heard recently, this one included.
func (a *account) refill(now time.Time, r propagation, heardFraction float64) {
	elapsed := now.Sub(a.refilledAt)
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	headroom, fraction := max(0, a.headroom(now, r.lag)), a.nodeFraction(now, r.horizon, r.nodes)
	rate := min((1-savedFraction)*headroom/r.lag.Seconds(), maxRateFactor*a.limit.Rate) * fraction
	maxBudget := min(savedFraction*headroom, maxSavedFraction*a.windowLimit()) * max(fraction, 1/float64(r.nodes))
	if !a.belowPacingThreshold(now) {
		evenRate := evenRateFactor * a.windowLimit() / a.window.Seconds()
		rate = min(rate, max(fraction*evenRate, evenRate-a.peerRate))
		maxBudget = min(maxBudget, a.limit.Burst*fraction)
	}
	a.budget += heardFraction * min(rate*elapsed.Seconds(), headroom)
	a.budget = min(a.budget, maxBudget)
}

// available is what may be spent now.
func (a *account) available(now time.Time, lag time.Duration) float64 {
	return min(a.budget, a.headroom(now, lag))
}

// takeExpired returns the units that left the window since the last call.
func (a *account) takeExpired(now time.Time) float64 {
	last := slotNumber(now, a.window) - windowSlots - 1
	units := a.earlier.sumSlots(a.lastExpired+1, last) + a.since.sumSlots(a.lastExpired+1, last)
	a.lastExpired = last
	return units
}

// unreportedEstimate is what the other nodes are estimated to have spent since their last
// reports, which are lag old on average.
func (a *account) unreportedEstimate(lag time.Duration) float64 {
	return a.peerRate * lag.Seconds()
}

// withinWindow returns how much of the units that a node spent while it was silent counts as
// spent within the last window: the part that falls into it if spending was even, but at least an
// equal share of the window limit.
func (a *account) withinWindow(units float64, silence time.Duration, nodes int) float64 {
	if silence <= a.window || units <= 0 {
		return units
	}
	evenly := units * a.window.Seconds() / silence.Seconds()
	return min(units, max(evenly, a.windowLimit()/float64(nodes)))
}

// recordPeers records units spent by another node. unreserved is the part that was not already
// counted as reserved for that node.
func (a *account) recordPeers(now time.Time, spent, unreserved float64) {
	a.since.add(now, a.window, unreserved)
	a.reported.add(now, a.window, spent)
	a.peerUnits += unreserved
	elapsed := now.Sub(a.peerRateAt)
	if elapsed < peerRateInterval {
		return
	}
	rate := max(0, a.peerUnits/elapsed.Seconds())
	a.peerRate += peerRateWeight * (rate - a.peerRate)
	a.peerRateAt, a.peerUnits = now, 0
}

// retryAfter returns the estimated time until units can be spent.
func (a *account) retryAfter(units float64, now time.Time, lag time.Duration) time.Duration {
	rate := max(a.headroom(now, lag), minHeadroomFraction*a.windowLimit()) / retryHorizon.Seconds()
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (units - a.budget) / rate
	return min(max(minRetryAfter, time.Duration(seconds*float64(time.Second))), maxRetryAfter)
}
