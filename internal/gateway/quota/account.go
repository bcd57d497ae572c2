package quota

import "time"

const (
	// windowSlots is into how many parts a window is divided; the account holds one
	// part more than the window, so it forgets late rather than early.
	windowSlots = 16
	// paceTime is in what time pacing gives out the room that is left in a window.
	paceTime = time.Second
	// savedShare is the part of the room that all nodes together save up: they may
	// spend it before they hear each other.
	savedShare = 0.5
	// calmShare is the part of a window's bound up to which a workspace is only paced
	// by the room: one that keeps to its quota is seldom above it.
	calmShare = 0.75
	// ownFactor is how many times its equal share a node may give out in a calm window:
	// clients are not spread evenly.
	ownFactor = 4
	// evenFactor is how many times the mean rate of a full window pacing gives out
	// above calmShare, so that a workspace that asks for too much does not spend its
	// window at the beginning.
	evenFactor = 1.05
	// maxDebtShare bounds, as a part of a window's bound, how far pacing falls behind.
	maxDebtShare = 0.05
	// minRoomShare is the least room that a time to come back is worked out with: more
	// comes free while the client waits.
	minRoomShare = 0.05
)

// Limit is the quota of a workspace.
type Limit struct {
	// Rate is in units a second; 0 or less means no limit.
	Rate float64
	// Burst is what may be spent beyond the rate within a window, in units.
	Burst float64
}

// account is what is spent of one workspace.
type account struct {
	limit  Limit
	window time.Duration
	// begun is false while only others were heard to spend, and no limit is known.
	begun bool
	// before is what was spent or may have been before this process knew of it, since what
	// was after that.
	before, since history
	// paced is what pacing may give out now; it is negative while requests wait.
	paced float64
	at    time.Time
	// spent is all that this process spent, which others add to their accounts.
	spent float64
	// othersRate is what the others spend together, in units a second, smoothed over
	// spans that end at othersAt; othersSum is what they spent since then.
	othersRate float64
	othersAt   time.Time
	othersSum  float64
}

// beginEmpty begins an account of a window before which nothing was spent.
func (a *account) beginEmpty(nodes int) {
	a.paced = savedShare * a.bound() / float64(nodes)
}

// beginFull begins an account of which all was spent before, evenly.
func (a *account) beginFull(now time.Time) {
	for back := range int64(windowSlots) {
		a.before.add(now.Add(-time.Duration(back)*a.window/windowSlots), a.window, a.bound()/windowSlots)
	}
}

// bound is what may be spent within a window.
func (a *account) bound() float64 { return a.limit.Rate*a.window.Seconds() + a.limit.Burst }

// recent is what was spent within the last window.
func (a *account) recent(now time.Time) float64 {
	return a.before.sum(now, a.window, 0) + a.since.sum(now, a.window, 0)
}

// spend notes that this process spent units.
func (a *account) spend(now time.Time, units float64) {
	a.note(now, units)
	a.pace(units)
}

// note counts units as spent, by whomever.
func (a *account) note(now time.Time, units float64) {
	a.since.add(now, a.window, units)
}

// pace takes units off what pacing gives out.
func (a *account) pace(units float64) {
	a.paced = max(a.paced-units, -maxDebtShare*a.bound())
}

// calm reports whether so little of the window is spent that a node paces by its own
// spending alone; above that all nodes pace by the spending of all.
func (a *account) calm(now time.Time) bool { return a.recent(now) <= calmShare*a.bound() }

// room is what is left in the window, less what the others may have spent unheard.
func (a *account) room(now time.Time, lag time.Duration) float64 {
	return a.bound() - a.recent(now) - a.unseen(lag)
}

// fill adds what pacing gives out for the time since the last call, of which a node
// that hears few others takes its share only. Each of the nodes saves up its part of
// the room at most, as all may spend it at once.
func (a *account) fill(now time.Time, lag time.Duration, share float64, nodes int) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	room := max(0, a.room(now, lag))
	rate, most := room/paceTime.Seconds(), savedShare*room/float64(nodes)
	if a.calm(now) {
		rate *= min(1, ownFactor/float64(nodes))
	} else {
		rate = min(rate, evenFactor*a.bound()/a.window.Seconds())
		most = min(most, a.limit.Burst/float64(nodes))
	}
	a.paced += share * min(rate*elapsed.Seconds(), room)
	a.paced = min(a.paced, most)
}

// left is what may be spent now.
func (a *account) left(now time.Time, lag time.Duration) float64 {
	return min(a.paced, a.room(now, lag))
}

// unseen is what the others may have spent since they were heard, lag ago.
func (a *account) unseen(lag time.Duration) float64 {
	return a.othersRate * lag.Seconds()
}

// noteOthers notes what others spent.
func (a *account) noteOthers(now time.Time, units float64) {
	a.note(now, units)
	if !a.calm(now) {
		a.pace(units)
	}
	a.othersSum += units
	elapsed := now.Sub(a.othersAt)
	if elapsed < rateWindow {
		return
	}
	rate := max(0, a.othersSum/elapsed.Seconds())
	a.othersRate += rateWeight * (rate - a.othersRate)
	a.othersAt, a.othersSum = now, 0
}

// wait returns how long it takes at least until units can be spent.
func (a *account) wait(units float64, now time.Time, lag time.Duration) time.Duration {
	rate := max(a.room(now, lag), minRoomShare*a.bound()) / paceTime.Seconds()
	if rate <= 0 {
		return maxWait
	}
	seconds := (units - a.paced) / rate
	return min(max(minWait, time.Duration(seconds*float64(time.Second))), maxWait)
}
