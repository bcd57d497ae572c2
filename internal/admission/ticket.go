package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// state is the state of a ticket; it only advances.
type state uint8

const (
	stateWaiting state = iota
	// stateSearching means that the ticket has been dispatched and searches for a slot.
	stateSearching
	stateRunning
	stateEnded
)

// Ticket is an accepted request. All fields except Request belong to its controller.
type Ticket struct {
	Request Request

	flow  *flow
	state state
	// heapIndex is the ticket's index in its flow's ticketQueue.
	heapIndex int
	// key is the sort key within the flow; see poolQueue.key.
	key int64
	// serial numbers the tickets in the order of their admission.
	serial     uint64
	admittedAt time.Time
	// searchingSince is when the search for a slot began.
	searchingSince time.Time
	// latestStart is the result of LatestStart.
	latestStart time.Time
	settled     chan struct{}
	refusal     *verdict.Error
}

// Settled is closed when the request has been dispatched by Next, shed or withdrawn.
func (t *Ticket) Settled() <-chan struct{} {
	return t.settled
}

// Refusal returns why the ticket was shed, or nil. It is valid once Settled is closed.
func (t *Ticket) Refusal() *verdict.Error {
	return t.refusal
}
