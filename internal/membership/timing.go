package membership

import "time"

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// TickInterval is the time between two ticks, at which all other times are checked.
	TickInterval time.Duration
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// DirectTimeout is how long a ping may be unanswered before indirect pings are sent.
	DirectTimeout time.Duration
	// ProbeTimeout is how long a probe may be unanswered in total before its target is
	// suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute before it is declared
	// dead.
	SuspicionTimeout time.Duration
	// MinorityExtraTimeout is added to SuspicionTimeout before a node that reaches less than
	// half of its region declares a member of that region dead.
	MinorityExtraTimeout time.Duration
	// CrossRegionTimeout is how long a member of another region may stay suspected before
	// this node declares it dead.
	CrossRegionTimeout time.Duration
	// Retention is how long dead and left members are remembered.
	Retention time.Duration
	// GossipInterval is the time between two gossip rounds.
	GossipInterval time.Duration
	// SyncInterval is the mean time between two syncs, each with one other member.
	SyncInterval time.Duration
	// RejoinInterval is the time between two attempts to reach a dead member or a seed.
	RejoinInterval time.Duration
	// MaxPause is the length of a pause after which a process regards itself as declared
	// dead.
	MaxPause time.Duration
}

// DefaultTiming returns the timing for sites of up to several hundred nodes.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:         100 * time.Millisecond,
		ProbeInterval:        500 * time.Millisecond,
		DirectTimeout:        300 * time.Millisecond,
		ProbeTimeout:         time.Second,
		SuspicionTimeout:     4 * time.Second,
		MinorityExtraTimeout: 30 * time.Second,
		CrossRegionTimeout:   2 * time.Hour,
		Retention:            6 * time.Hour,
		GossipInterval:       200 * time.Millisecond,
		SyncInterval:         5 * time.Second,
		RejoinInterval:       2 * time.Second,
		MaxPause:             5 * time.Minute,
	}
}
