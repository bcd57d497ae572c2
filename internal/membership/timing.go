package membership

import "time"

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// TickInterval is the time between two ticks, at which all other times are checked.
	Tick time.Duration
	// ProbeInterval is the time between two probes.
	Probe time.Duration
	// DirectTimeout is how long a ping may be unanswered before indirect pings are sent.
	DirectTimeout time.Duration
	// ProbeTimeout is how long a probe may be unanswered in total before its target is
	// suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute before it is declared
	// dead.
	Suspicion time.Duration
	// MinorityExtraTimeout is added to SuspicionTimeout on a node that reaches less than
	// half of its region.
	MinorityHold time.Duration
	// CrossRegionTimeout is how long a member of another region may stay suspected before
	// this node declares it dead.
	RegionHold time.Duration
	// Retention is how long dead and left members are remembered.
	Remember time.Duration
	// GossipInterval is the time between two gossip rounds.
	Gossip time.Duration
	// SyncInterval is the mean time between two syncs, each with one other member.
	Sync time.Duration
	// RejoinInterval is the time between two attempts to reach a dead member or a seed.
	Rejoin time.Duration
	// MaxPause is the length of a pause after which a process regards itself as declared
	// dead.
	SelfDead time.Duration
}

// DefaultTiming returns the timing for sites of up to several hundred nodes.
func DefaultTiming() Timing {
	return Timing{
		Tick:          100 * time.Millisecond,
		Probe:         500 * time.Millisecond,
		DirectTimeout: 300 * time.Millisecond,
		ProbeTimeout:  time.Second,
		Suspicion:     4 * time.Second,
		MinorityHold:  30 * time.Second,
		RegionHold:    2 * time.Hour,
		Remember:      6 * time.Hour,
		Gossip:        200 * time.Millisecond,
		Sync:          5 * time.Second,
		Rejoin:        2 * time.Second,
		SelfDead:      5 * time.Minute,
	}
}
