package routing

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
)

const (
	// slowStartTime is how long a new replica takes to get its full share.
	slowStartTime = 10 * time.Second
	// slowStartShare is the part of its slots that a new replica gets at once.
	slowStartShare = 0.25
	// adoptTime is how long an exact table also trusts reports on a replica that is new to it,
	// since its former owner's counts are lost.
	adoptTime = 3 * time.Second
	// paceGain is the weight of a new sample in the mean time per token.
	paceGain = 0.2
)

// Replica is what a table knows about one upstream. Policies read it while the
// table is locked.
type Replica struct {
	fleet.Upstream

	// number is the replica's number in the prefix index, or -1.
	number   int
	inFlight int
	suspects int
	report   Load
	// startedSince counts starts by this node after the report was measured.
	startedSince int
	endedSince   int
	joined       time.Time
	fresh        bool
	breaker      breaker
	leaving      bool
	// pace is the mean time between tokens in seconds, or 0 when unknown.
	pace float64
	// matched is how many leading blocks of the request at hand are believed cached.
	matched int
	seen    bool
}

// usable reports whether new work may be sent at now.
func (r *Replica) usable(now time.Time) bool {
	return !r.leaving && r.State == fleet.StateReady && r.breaker.allows(now)
}

// Reported returns the load by the last report alone.
func (r *Replica) Reported() int {
	return r.report.Running + r.report.Waiting
}

// InFlight returns how many requests are counted at the replica.
func (r *Replica) InFlight() int {
	return r.inFlight
}

// estimate returns the load by the last report and what this node did since.
func (r *Replica) estimate() int {
	return max(r.inFlight, r.Reported()+r.startedSince-r.endedSince)
}

// room returns how many requests the replica should have at most at now.
func (r *Replica) room(now time.Time) float64 {
	slots := float64(r.Slots)
	if !r.fresh {
		return slots
	}
	age := now.Sub(r.joined)
	if age >= slowStartTime {
		return slots
	}
	share := slowStartShare + (1-slowStartShare)*age.Seconds()/slowStartTime.Seconds()
	return max(1, slots*share)
}

// sample adds a measured time between tokens.
func (r *Replica) sample(perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	s := perToken.Seconds()
	if r.pace == 0 {
		r.pace = s
		return
	}
	r.pace += paceGain * (s - r.pace)
}
