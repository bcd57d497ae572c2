package routing

import (
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
)

const (
	// slowStartTime is how long a new replica takes to reach its full capacity.
	slowStartTime = 10 * time.Second
	// slowStartShare is the fraction of its capacity that a new replica starts with.
	slowStartShare = 0.25
	// slowTokenLatency is the time between tokens, in seconds, above which a replica's
	// capacity is reduced.
	slowTokenLatency = 0.033
	// minSlotFactor is the smallest fraction of its slots that a slow replica keeps.
	minSlotFactor = 0.2
	// takeoverTime is how long an exact table also uses load reports for a replica that
	// has joined it, because the counts of the replica's former owner are lost.
	takeoverTime = 3 * time.Second
	// pressingShare is how many pressing requests may queue in addition to the regular
	// overcommit, as a fraction of it.
	pressingShare = 0.5
	// tokenLatencyGain is the weight of a new sample in the moving average of tokenLatency.
	tokenLatencyGain = 0.2
)

// Replica is the state of one upstream in a table. Policies read it while the table
// is locked. The fields read by every choice come first, because a choice iterates
// over hundreds of replicas.
type Replica struct {
	// ready, leaving and local are derived from the upstream's state and failure domain;
	// down is true from a crash or a failed probe until the next successful probe.
	ready       bool
	leaving     bool
	down        bool
	local       bool
	inSlowStart bool
	// listed is used by Table.Update to find the replicas that are no longer listed.
	listed      bool
	reclaimable bool
	// price is the upstream's price per hour.
	price float64
	// indexBit is the replica's bit in the prefix index, or -1 if it is not indexed.
	indexBit         int
	inFlight         int
	suspectsInFlight int
	// fullCapacity is the capacity in requests after the slow start.
	fullCapacity float64
	// slotFactor is the fraction of its slots that a slow replica keeps. It falls with the
	// square of tokenLatency, because each request becomes faster in a smaller batch.
	slotFactor float64
	// maxInFlight is the maximum number of requests in an exact table after the slow start.
	maxInFlight int
	// slowdown is tokenLatency relative to typicalTokenLatency, or 1 if unknown.
	slowdown float64
	// matchedBlocks is how many leading blocks of the current request are probably cached.
	matchedBlocks int
	breaker       breaker
	slots         float64
	// tokenLatency is the mean time between tokens in seconds, or 0 if unknown.
	tokenLatency float64
	joined       time.Time
	report       Load
	// startedSince and endedSince count the requests that this node has started and
	// ended since the last load report.
	startedSince int
	endedSince   int

	fleet.Upstream
}

// usable reports whether new requests may be sent at time now.
func (r *Replica) usable(now time.Time) bool {
	return r.ready && !r.leaving && !r.down && r.breaker.allows(now)
}

// Reported returns the load according to the last report alone.
func (r *Replica) Reported() int {
	return r.report.Running + r.report.Waiting
}

// InFlight returns the number of requests that this table counts at the replica.
func (r *Replica) InFlight() int {
	return r.inFlight
}

// estimate returns the load according to the last report, corrected by the requests
// that this node has started and ended since.
func (r *Replica) estimate() int {
	return max(r.inFlight, r.Reported()+r.startedSince-r.endedSince)
}

// capacity returns how many requests the replica should have at most: fewer during
// the slow start, and fewer when it is so slow that a full batch would be late.
func (r *Replica) capacity(now time.Time) float64 {
	if r.inSlowStart {
		return r.slowStartCapacity(now)
	}
	return r.fullCapacity
}

// slowStartCapacity returns the capacity of a replica that joined recently.
func (r *Replica) slowStartCapacity(now time.Time) float64 {
	age := now.Sub(r.joined)
	if age >= slowStartTime {
		r.inSlowStart = false
		return r.fullCapacity
	}
	share := slowStartShare + (1-slowStartShare)*age.Seconds()/slowStartTime.Seconds()
	return max(1, r.fullCapacity*share)
}

// updateCapacity recomputes the fields derived from slots and tokenLatency.
func (r *Replica) updateCapacity(options *Options) {
	r.slotFactor = 1
	r.slowdown = 1
	if r.tokenLatency > 0 {
		r.slowdown = r.tokenLatency / typicalTokenLatency
	}
	if r.tokenLatency > slowTokenLatency {
		ratio := slowTokenLatency / r.tokenLatency
		r.slotFactor = max(minSlotFactor, ratio*ratio)
	}
	r.fullCapacity = max(1, r.slots*r.slotFactor)
	r.maxInFlight = int(math.Ceil(r.fullCapacity + r.overcommit(options)))
}

// overcommit returns how many requests beyond its capacity may queue at the replica.
func (r *Replica) overcommit(options *Options) float64 {
	return float64(options.Overcommit) * r.slotFactor
}

// pressingAllowance returns how many requests may queue beyond the overcommit if f is pressing.
func (r *Replica) pressingAllowance(options *Options, f *Features) float64 {
	if !f.Pressing {
		return 0
	}
	return r.overcommit(options) * pressingShare
}

// addTokenLatency adds a measured time between tokens to the moving average.
func (r *Replica) addTokenLatency(perToken time.Duration, options *Options) {
	if perToken <= 0 {
		return
	}
	s := perToken.Seconds()
	if r.tokenLatency == 0 {
		r.tokenLatency = s
	} else {
		r.tokenLatency += tokenLatencyGain * (s - r.tokenLatency)
	}
	r.updateCapacity(options)
}
