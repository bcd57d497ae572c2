package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// state is how far a ticket has come; it only grows.
type state uint8

const (
	stateWaiting state = iota
	// stateAsking has had its turn and looks for a slot.
	stateAsking
	stateRunning
	stateEnded
)

// Ticket is an accepted request. Its fields but Request belong to its controller.
type Ticket struct {
	Request Request

	flow   *flow
	state  state
	place  int
	key    int64
	serial uint64
	since  time.Time
	// asks is since when it has been looking for a slot.
	asks time.Time
	// latest is when it has to have its slot to be likely to meet its deadline.
	latest  time.Time
	settled chan struct{}
	refusal *verdict.Error
}

// Settled is closed when the request was handed out by Next, shed or withdrawn.
func (t *Ticket) Settled() <-chan struct{} {
	return t.settled
}

// Refusal returns why the ticket was shed, or nil; valid once Settled is closed.
func (t *Ticket) Refusal() *verdict.Error {
	return t.refusal
}
