package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// defaultMaxQueued is the limit of a queue if Settings.MaxQueued is 0.
	defaultMaxQueued = 512
	// defaultSafetyFactor is the safety factor if Settings.SafetyFactor is 0.
	defaultSafetyFactor = 1.25
)

// Settings configure a controller.
type Settings struct {
	// MaxQueued is the maximum number of requests waiting in one pool's queue. Default 512.
	MaxQueued int
	// SafetyFactor is the factor by which the expected time of a request is multiplied when it is
	// compared with the time left until its deadline. Default 1.25.
	SafetyFactor float64
	// Share returns the weight of a workspace; nil or a result of 0 means 1.
	Share func(ident.Workspace) float64
	// MaxInFlight returns how many requests of a workspace may be accepted at the same time;
	// nil or 0 means no limit.
	MaxInFlight func(ident.Workspace) int
	// OnShed is called for each ticket that is shed after it was accepted; may be nil.
	OnShed func(*Ticket, *verdict.Error)
}

func (s *Settings) fillDefaults() {
	if s.MaxQueued == 0 {
		s.MaxQueued = defaultMaxQueued
	}
	if s.SafetyFactor == 0 {
		s.SafetyFactor = defaultSafetyFactor
	}
}

// maxServiceTime returns how long r may take once it has a slot: its cost times the
// safety factor.
func (s *Settings) maxServiceTime(r *Request) time.Duration {
	return time.Duration(float64(r.Cost) * s.SafetyFactor)
}

func (s *Settings) share(w ident.Workspace) float64 {
	if s.Share == nil {
		return 1
	}
	if share := s.Share(w); share > 0 {
		return share
	}
	return 1
}

func (s *Settings) limit(w ident.Workspace) int {
	if s.MaxInFlight == nil {
		return 0
	}
	return s.MaxInFlight(w)
}

// Counters count the decisions of a controller; they never decrease.
type Counters struct {
	Accepted   uint64
	Refused    uint64
	Shed       uint64
	Dispatched uint64
	Released   uint64
}

// Bounds of the time after which a refused caller should try again.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)
