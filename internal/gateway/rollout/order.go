package rollout

import "time"

// State is the state of an order in the store.
type State uint8

const (
	// Ordered orders have no state in the store yet.
	Ordered State = iota
	// InProgress orders are being judged.
	InProgress
	// Completed orders have ended with the new version; the upstreams of others stop at once.
	Completed
	// RolledBack orders have ended with the version before; the upstreams of the new one drain.
	RolledBack
)

// String returns the value used in logs.
func (s State) String() string {
	switch s {
	case InProgress:
		return "in_progress"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	case Ordered:
	}
	return "ordered"
}

// Ended reports whether the order has ended.
func (s State) Ended() bool { return s == Completed || s == RolledBack }

// Order is the operator's order to move a service to a version.
type Order struct {
	Service string
	// Target is the version that is to take the service's requests.
	Target string
	// Duration is the time within which the order is to end.
	Duration time.Duration
	// Created tells an order from an earlier one of the same name that was removed.
	Created uint64
	State   State
	// Fence is the fencing number under which the state was written; 0 if it was not.
	Fence uint64
}

// sameAs reports whether both are states of one order.
func (o *Order) sameAs(other *Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Created == other.Created
}
