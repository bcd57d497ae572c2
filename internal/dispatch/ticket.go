package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Ticket represents an accepted request in this node's admission queues.
type Ticket interface {
	// Turn is closed when the request may ask for an upstream, or was shed.
	Turn() <-chan struct{}
	// Refusal returns why the request was shed, or nil; valid once Turn is closed.
	Refusal() *verdict.Error
	// LatestStart returns the latest time for a placement at which the request is still
	// likely to meet its deadline.
	LatestStart() time.Time
	// OverdueRefusal returns why a request without a placement is given up now, or nil.
	OverdueRefusal() *verdict.Error
	// Placed records that the request has a placement at an upstream.
	Placed()
	// Release removes the request from admission; done is true when it completed.
	Release(done bool)
}
