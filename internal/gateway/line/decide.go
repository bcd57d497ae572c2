package line

import "time"

const (
	// MaxRank is the last rank; 0 is the most urgent.
	MaxRank = 9
	// maxWaitShare is the share of the shortest target latency of a service that the wait at its
	// upstreams may take. The rest is for the request itself.
	maxWaitShare = 0.75
	// maxOverShareWaitShare is the same for workspaces that are beyond their share.
	maxOverShareWaitShare = 0.5
	// minLateShare is the share of late responses from which requests are refused for the wait: with
	// fewer, a long estimate rather is an error of the estimate.
	minLateShare = 0.25
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
	// ReasonWait means that the wait leaves too little of the target latency, and that the request would
	// hold up others.
	ReasonWait Reason = "wait"
	// ReasonShare means that the workspace has used more than its share while room is short.
	ReasonShare Reason = "share"
)

// Request is what is known about a request that is about to be sent.
type Request struct {
	// Rank is the configured priority, from 0 (most urgent) to MaxRank.
	Rank int
	// Left is the time left until the deadline.
	Left time.Duration
	// OverShare is true if the workspace has used more than its share of the recent room.
	OverShare bool
	// Begun is true once the request may have run, or the client has received part of the response.
	Begun bool
}

// Room is what is known about the upstream that was chosen for a request.
type Room struct {
	// Wait is the estimated time until the upstream begins with the request, and Own the time that the
	// request itself then takes until its first event.
	Wait, Own time.Duration
	// Late is the share of the service's latest responses that began later than the target latency.
	Late float64
	// Target is the shortest target latency of the service's routes; 0 if none has one.
	Target time.Duration
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

// Short reports whether room is short: workspaces beyond their share give way.
func (r *Room) Short() bool { return r.excess(maxOverShareWaitShare) > 0 }

// excess returns by how much the wait exceeds the share of the target latency.
func (r *Room) excess(share float64) time.Duration {
	if r.Target <= 0 {
		return 0
	}
	return r.Wait - time.Duration(share*float64(r.Target))
}

// Decide answers bursts, hot workspaces and lost capacity: it bounds the wait at the upstreams, so that
// the requests that are sent are in time. The bound is the same for all routes and sizes of requests of
// a service, so that none takes the room of those that can wait less.
func Decide(r *Request, room *Room) Decision {
	if late := room.Wait + room.Own - r.Left; late > 0 {
		return Decision{Refuse: true, Reason: ReasonDeadline, RoomIn: late}
	}
	share, reason := maxWaitShare, ReasonWait
	if r.OverShare {
		share, reason = maxOverShareWaitShare, ReasonShare
	}
	excess := room.excess(share)
	switch {
	case r.Begun || excess <= 0:
		return Decision{Rank: r.Rank}
	case room.Late >= minLateShare:
		return Decision{Refuse: true, Reason: reason, RoomIn: excess}
	case r.OverShare:
		return Decision{Rank: min(r.Rank+overShareStep, MaxRank), Reason: reason}
	}
	return Decision{Rank: r.Rank}
}
