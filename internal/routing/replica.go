package routing

import (
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
)

const (
	// slowStartTime is how long a new replica takes to get its full share.
	slowStartTime = 10 * time.Second
	// slowStartShare is the part of its slots that a new replica gets at once.
	slowStartShare = 0.25
	// slowPace is the time between tokens, in seconds, above which a replica gets less than its slots.
	slowPace = 0.033
	// leastSpeed is the least part of its slots that a slow replica gets.
	leastSpeed = 0.2
	// adoptTime is how long an exact table also trusts reports on a replica that is new to it,
	// since its former owner's counts are lost.
	adoptTime = 3 * time.Second
	// pressingPart is how many requests that are pressing may wait beyond the others, as a part of these.
	pressingPart = 0.5
	// paceGain is the weight of a new sample in the mean time per token.
	paceGain = 0.2
)

// Replica is what a table knows about one upstream. Policies read it while the
// table is locked. The fields that every choice reads come first, since choices
// go over hundreds of replicas.
type Replica struct {
	// ready, leaving and local are derived from the upstream's state and place;
	// down is true from a crash or an unanswered look until the next answer.
	ready       bool
	leaving     bool
	down        bool
	local       bool
	fresh       bool
	seen        bool
	reclaimable bool
	// price is the upstream's price per hour.
	price float64
	// number is the replica's number in the prefix index, or -1.
	number   int
	inFlight int
	suspects int
	// steadyRoom is how many requests the replica should have at most once it is not new.
	steadyRoom float64
	// speed is the part of its slots that a slow replica gets. It falls by the square
	// of the pace: with fewer in the batch each request gets back some of its time.
	speed float64
	// limit is how many requests an exact table counts there at most once it is not new.
	limit int
	// slowness is the pace in typical paces, 1 when unknown.
	slowness float64
	// matched is how many leading blocks of the request at hand are believed cached.
	matched int
	breaker breaker
	// slots is the upstream's number of slots.
	slots float64
	// pace is the mean time between tokens in seconds, or 0 when unknown.
	pace   float64
	joined time.Time
	report Load
	// startedSince and endedSince count starts and ends by this node after the report was measured.
	startedSince int
	endedSince   int

	fleet.Upstream
}

// usable reports whether new work may be sent at now.
func (r *Replica) usable(now time.Time) bool {
	return r.ready && !r.leaving && !r.down && r.breaker.allows(now)
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

// room returns how many requests the replica should have at most at now: fewer
// while it is new, and fewer when it is so slow that many would all be late.
func (r *Replica) room(now time.Time) float64 {
	if r.fresh {
		return r.freshRoom(now)
	}
	return r.steadyRoom
}

// freshRoom is the room of a replica that joined lately.
func (r *Replica) freshRoom(now time.Time) float64 {
	age := now.Sub(r.joined)
	if age >= slowStartTime {
		r.fresh = false
		return r.steadyRoom
	}
	share := slowStartShare + (1-slowStartShare)*age.Seconds()/slowStartTime.Seconds()
	return max(1, r.steadyRoom*share)
}

// tune derives what choices read from the slots and the pace.
func (r *Replica) tune(options *Options) {
	r.speed = 1
	r.slowness = 1
	if r.pace > 0 {
		r.slowness = r.pace / typicalPace
	}
	if r.pace > slowPace {
		ratio := slowPace / r.pace
		r.speed = max(leastSpeed, ratio*ratio)
	}
	r.steadyRoom = max(1, r.slots*r.speed)
	r.limit = int(math.Ceil(r.steadyRoom + r.overcommit(options)))
}

// overcommit is how many requests beyond its room may wait at the replica.
func (r *Replica) overcommit(options *Options) float64 {
	return float64(options.Overcommit) * r.speed
}

// reserved is how many more may wait when one that is pressing asks.
func (r *Replica) reserved(options *Options, f *Features) float64 {
	if !f.Pressing {
		return 0
	}
	return r.overcommit(options) * pressingPart
}

// sample adds a measured time between tokens.
func (r *Replica) sample(perToken time.Duration, options *Options) {
	if perToken <= 0 {
		return
	}
	s := perToken.Seconds()
	if r.pace == 0 {
		r.pace = s
	} else {
		r.pace += paceGain * (s - r.pace)
	}
	r.tune(options)
}
