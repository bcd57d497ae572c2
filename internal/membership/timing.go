package membership

import "time"

// Timing says how often members are probed and how long things are waited for.
type Timing struct {
	// Tick is the step of all the other times.
	Tick time.Duration
	// Probe is the time between two probes.
	Probe time.Duration
	// DirectTimeout is how long a probe waits before others are asked to probe too.
	DirectTimeout time.Duration
	// ProbeTimeout is how long a probe waits in all before its target is suspected.
	ProbeTimeout time.Duration
	// Suspicion is how long a suspected member has to deny before it is declared dead.
	Suspicion time.Duration
	// MinorityHold is how long a node that can reach less than half of its region
	// waits, beyond Suspicion, before it declares a member of its region dead.
	MinorityHold time.Duration
	// RegionHold is how long a member of another region stays suspected before it is
	// declared dead from outside its region.
	RegionHold time.Duration
	// Remember is how long members that are dead or left are remembered.
	Remember time.Duration
	// Gossip is the time between two rounds of news.
	Gossip time.Duration
	// Sync is the time between two comparisons of everything with one other member.
	Sync time.Duration
	// Rejoin is the time between two attempts to reach a dead member or a seed.
	Rejoin time.Duration
	// SelfDead is after how long a pause a process regards itself as declared dead.
	SelfDead time.Duration
}

// DefaultTiming returns the times for sites of up to several hundred nodes.
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
