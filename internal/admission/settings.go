package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// defaultMaxQueued bounds a lane when the settings do not.
	defaultMaxQueued = 512
	// defaultSafety is the factor on the expected time of a request when it is held against its deadline.
	defaultSafety = 1.25
)

// Settings are the bounds of a controller.
type Settings struct {
	// MaxQueued is the most requests waiting in one lane. Default 512.
	MaxQueued int
	// Safety is the factor on the expected time of a request when it is held against its deadline. Default 1.25.
	Safety float64
	// Share returns a workspace's weight; nil or a result of 0 means 1.
	Share func(ident.Workspace) float64
	// MaxInFlight returns how many requests of a workspace may be accepted at once; nil or 0 means no limit.
	MaxInFlight func(ident.Workspace) int
	// OnShed is called for each ticket that is shed after it was accepted; nil for none.
	OnShed func(*Ticket, *verdict.Error)
}

func (s *Settings) fillDefaults() {
	if s.MaxQueued == 0 {
		s.MaxQueued = defaultMaxQueued
	}
	if s.Safety == 0 {
		s.Safety = defaultSafety
	}
}

// time returns how long r may take once it has a slot.
func (s *Settings) time(r *Request) time.Duration {
	return time.Duration(float64(r.Cost) * s.Safety)
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

// Counters count what a controller decided; they only grow.
type Counters struct {
	Accepted   uint64
	Refused    uint64
	Shed       uint64
	Dispatched uint64
	Released   uint64
}

// retryAfter bounds when a refused caller is told to come back.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)
