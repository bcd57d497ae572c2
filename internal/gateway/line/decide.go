package line

import "time"

const (
	// MaxRank is the last rank; 0 is the most urgent.
	MaxRank = 9
	// shortWaitShare is the share of the target latency from which the wait at the upstream of the
	// lowest cost shows that room is short.
	shortWaitShare = 0.5
	// minTakenShare is the share of an upstream's slots from which a request may be refused there: with
	// fewer taken, a long estimate rather is an error of the estimate.
	minTakenShare = 0.5
	// overShareStep is by how many ranks a request of a workspace beyond its share is ranked behind
	// others.
	overShareStep = 3
)

// Reason is why a request is refused or ranked behind others, as written in logs and metrics.
type Reason string

// The reasons.
const (
	// ReasonNone is the reason of requests that are sent with their own rank.
	ReasonNone Reason = ""
	// ReasonDeadline means that the first event can't come before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonTarget means that the first event can't come within the target latency, and that the request
	// would hold up others that can be in time.
	ReasonTarget Reason = "target_latency"
	// ReasonShare means that the workspace has used more than its share while room is short.
	ReasonShare Reason = "share"
)

// Request is what is known about a request that is about to be sent.
type Request struct {
	// Rank is the configured priority, from 0 (most urgent) to MaxRank.
	Rank int
	// Target is the target latency of the route; 0 if it has none.
	Target time.Duration
	// Age is the time since the request was received.
	Age time.Duration
	// Left is the time left until the deadline.
	Left time.Duration
	// OverShare is true if the workspace has used more than its share of the recent room.
	OverShare bool
	// Begun is true once the client has received part of the response.
	Begun bool
}

// Room is what is known about the upstream of the lowest cost for a request.
type Room struct {
	// Wait is the estimated time until the upstream begins with the request, and Own the time that the
	// request itself then takes until its first event.
	Wait, Own time.Duration
	// Open is the number of requests in progress there, and Slots the number that run concurrently.
	Open, Slots int
}

// Decision is what happens to a request.
type Decision struct {
	// Refuse is true if the request is not sent.
	Refuse bool
	// Rank is the rank with which it is sent.
	Rank   int
	Reason Reason
	// RoomIn is the estimated time until there is room for a refused request.
	RoomIn time.Duration
}

// Short reports whether room is short for a request with the target latency.
func (r *Room) Short(target time.Duration) bool {
	return target > 0 && r.Wait > time.Duration(shortWaitShare*float64(target))
}

// crowded reports whether enough slots are taken to refuse a request.
func (r *Room) crowded() bool {
	return float64(r.Open) >= minTakenShare*float64(r.Slots)
}

// Decide answers bursts, hot workspaces and lost capacity: while the wait at the best upstream takes
// much of the target latency, requests that can't be in time are refused at once, so that those behind
// them can.
func Decide(r *Request, room *Room) Decision {
	expected := room.Wait + room.Own
	if expected > r.Left {
		return Decision{Refuse: true, Reason: ReasonDeadline, RoomIn: expected - r.Left}
	}
	if r.Begun || !room.Short(r.Target) {
		return Decision{Rank: r.Rank}
	}
	limit := r.Target
	if r.OverShare {
		limit = time.Duration(shortWaitShare * float64(r.Target))
	}
	over := r.Age + expected - limit
	switch {
	case over <= 0:
		return Decision{Rank: r.Rank}
	case room.crowded() && r.OverShare:
		return Decision{Refuse: true, Reason: ReasonShare, RoomIn: min(over, room.Wait)}
	case room.crowded():
		return Decision{Refuse: true, Reason: ReasonTarget, RoomIn: min(over, room.Wait)}
	case r.OverShare:
		return Decision{Rank: min(r.Rank+overShareStep, MaxRank), Reason: ReasonShare}
	}
	return Decision{Rank: r.Rank}
}
