package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Ticket is the place of an accepted request in this node's queues.
type Ticket interface {
	// Turn is closed when the request may ask for an upstream, or was shed.
	Turn() <-chan struct{}
	// Refusal returns why the request was shed, or nil; valid once Turn is closed.
	Refusal() *verdict.Error
	// LatestStart is when the request has to have a place to be likely to meet its deadline.
	LatestStart() time.Time
	// Overdue returns why a request without a place is given up now, or nil.
	Overdue() *verdict.Error
	// Placed says that the request has a place at an upstream.
	Placed()
	// Release ends the request's stay; done is true when it ran to its end.
	Release(done bool)
}
