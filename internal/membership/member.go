// Package membership knows which nodes are there.
//
// Invariant: an incarnation that was declared dead never comes back as itself;
// a process that finds itself declared dead takes a new incarnation or ends.
package membership

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// State is what is known about a member.
type State uint8

// The states of a member, from the least to the most final. A member moves only upwards,
// except from suspect back to alive by its own word.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
	StateLeft
)

// String returns the state as logs and tables spell it.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	}
	return "unknown"
}

// Usable reports whether a member in this state may be given new duties; see also Member.Usable.
func (s State) Usable() bool {
	return s == StateAlive
}

// Member is one incarnation of one node.
type Member struct {
	Incarnation   ident.Incarnation
	Node          ident.Node
	Region        ident.Region
	FailureDomain ident.FailureDomain
	// CallerURL is the base URL for callers, such as "http://127.0.0.1:7001".
	CallerURL string
	// PeerAddress is host and port of the listener for other nodes (TCP) and of gossip (UDP).
	PeerAddress string
	// Protocol is what it speaks with other nodes.
	Protocol Protocol
	// Foreign is true when that differs from the protocol of the node whose view this is.
	Foreign bool
	State   State
	// Successor took over the witness table of a member that left; empty when there is none.
	// There is at most one, for ever.
	Successor ident.Incarnation
}

// Usable reports whether this node may count on the member for a duty that
// takes messages between the two.
func (m *Member) Usable() bool {
	return m.State.Usable() && !m.Foreign
}

// View is the list of members that a node knows.
type View interface {
	// Self returns this node's own member.
	Self() Member
	// Members returns a snapshot that includes Self; it must not be changed.
	Members() []Member
	// Lookup finds a member by incarnation, dead and left ones included for as long as they are remembered.
	Lookup(incarnation ident.Incarnation) (Member, bool)
}
