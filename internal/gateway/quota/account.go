package quota

import "time"

const (
	// windowSlots is into how many parts a window is divided; the account holds one
	// part more than the window, so it forgets late rather than early.
	windowSlots = 16
	// savedShare is the part of the room that all nodes together save up; the rest is
	// given out while a message is on its way, so that both together are the room.
	savedShare = 0.5
	// mostSavedShare bounds, as a part of a window's bound, what all nodes save up.
	mostSavedShare = 0.21
	// equalShare is the part of the room that is divided evenly; the rest goes to nodes
	// by what they spent, as clients are not spread evenly.
	equalShare = 0.5
	// calmShare is the part of a window's bound up to which a workspace is only paced
	// by the room: one that keeps to its quota is seldom above it.
	calmShare = 0.75
	// waitTime is in what time the room is taken to come free for one that is to come back.
	waitTime = time.Second
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
	Rate float64 `json:"rate"`
	// Burst is what may be spent beyond the rate within a window, in units.
	Burst float64 `json:"burst"`
}

// account is what is spent of one workspace.
type account struct {
	limit  Limit
	window time.Duration
	// begun is false while only others were heard to spend, and no limit is known.
	begun bool
	// before is what was spent or may have been before this process knew of it, since what
	// was after that: own is what this process spent, heard what others said that they
	// spent, and the rest is reserved for others.
	before, since, own, heard history
	// expired is the number of the last part that had left the window when the account was brought to now.
	expired int64
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
	a.since.add(now, a.window, units)
	a.own.add(now, a.window, units)
	a.paced = max(a.paced-units, -maxDebtShare*a.bound())
}

// calm reports whether so little of the window is spent that only the room paces a node.
func (a *account) calm(now time.Time) bool { return a.recent(now) <= calmShare*a.bound() }

// part is this node's part of what all may give out. What it spent counts only once the
// others have heard of it, within horizon: so the parts of all never add up to more than one.
func (a *account) part(now time.Time, horizon time.Duration, nodes int) float64 {
	equal := 1 / float64(nodes)
	own, heard := max(0, a.own.sum(now, a.window, horizon)), max(0, a.heard.sum(now, a.window, 0))
	if own+heard <= 0 {
		return equal
	}
	return equalShare*equal + (1-equalShare)*own/(own+heard)
}

// room is what is left in the window, less what the others may have spent unheard.
func (a *account) room(now time.Time, lag time.Duration) float64 {
	return a.bound() - a.recent(now) - a.unseen(lag)
}

// fill adds what pacing gives out for the time since the last call. All nodes together
// save up a part of the room, and give out the rest within the time after which they have
// heard of it: they cannot spend more than the room, whoever begins when. share is less
// than 1 while few others are heard.
func (a *account) fill(now time.Time, r reach, share float64) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	room, part := max(0, a.room(now, r.lag)), a.part(now, r.horizon, r.nodes)
	rate := min((1-savedShare)*room/r.lag.Seconds(), gapFactor*a.limit.Rate) * part
	most := min(savedShare*room, mostSavedShare*a.bound()) * max(part, 1/float64(r.nodes))
	if !a.calm(now) {
		even := evenFactor * a.bound() / a.window.Seconds()
		rate = min(rate, max(part*even, even-a.othersRate))
		most = min(most, a.limit.Burst*part)
	}
	a.paced += share * min(rate*elapsed.Seconds(), room)
	a.paced = min(a.paced, most)
}

// left is what may be spent now.
func (a *account) left(now time.Time, lag time.Duration) float64 {
	return min(a.paced, a.room(now, lag))
}

// free returns what left the window since the last call.
func (a *account) free(now time.Time) float64 {
	last := slotNumber(now, a.window) - windowSlots - 1
	units := a.before.between(a.expired+1, last) + a.since.between(a.expired+1, last)
	a.expired = last
	return units
}

// unseen is what the others may have spent since they were heard, lag ago.
func (a *account) unseen(lag time.Duration) float64 {
	return a.othersRate * lag.Seconds()
}

// lately returns what a node spent within the last window of what it spent while it was
// silent: as much as it may have if it did so evenly, or an equal part of the quota.
func (a *account) lately(units float64, silent time.Duration, nodes int) float64 {
	if silent <= a.window || units <= 0 {
		return units
	}
	evenly := units * a.window.Seconds() / silent.Seconds()
	return min(units, max(evenly, a.bound()/float64(nodes)))
}

// noteOthers notes what others spent, and what of it was not reserved for them before.
func (a *account) noteOthers(now time.Time, spent, units float64) {
	a.since.add(now, a.window, units)
	a.heard.add(now, a.window, spent)
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
	rate := max(a.room(now, lag), minRoomShare*a.bound()) / waitTime.Seconds()
	if rate <= 0 {
		return maxWait
	}
	seconds := (units - a.paced) / rate
	return min(max(minWait, time.Duration(seconds*float64(time.Second))), maxWait)
}
