// Package membership tracks the nodes of a site with a SWIM-style gossip protocol.
//
// Invariant: an incarnation that was declared dead never becomes alive again;
// a process that finds itself declared dead takes a new incarnation or ends.
package membership

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// State is the lifecycle state of a member.
type State uint8

// The states of a member in increasing order. A member only moves to a higher state,
// except from suspect back to alive when it refutes the suspicion.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
	StateLeft
)

// String returns the name used in logs and tables.
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

// Usable reports whether a member in this state may be given new duties; see also
// Member.Usable.
func (s State) Usable() bool {
	return s == StateAlive
}

// Member is one incarnation of one node.
type Member struct {
	Incarnation   ident.Incarnation
	Node          ident.Node
	Region        ident.Region
	FailureDomain ident.FailureDomain
	// CallerURL is the base URL of the caller API, such as "http://127.0.0.1:7001".
	CallerURL string
	// PeerAddress is the host and port for other nodes: peer calls over TCP and gossip
	// over UDP.
	PeerAddress string
	// Protocol is the version of the messages between nodes that the member uses.
	Protocol Protocol
	// Foreign is true when Protocol differs from that of the node whose View this is.
	Foreign bool
	State   State
	// Successor took over the witness table of a member that left; it is empty when there
	// is none. It is set at most once.
	Successor ident.Incarnation
}

// Usable reports whether this node may give the member duties that need messages between
// the two.
func (m *Member) Usable() bool {
	return m.State.Usable() && !m.Foreign
}

// View is a node's list of known members.
type View interface {
	// Self returns this node's own member.
	Self() Member
	// Members returns a snapshot that includes Self; callers must not change it.
	Members() []Member
	// Lookup finds a member by incarnation, including dead and left ones that are still
	// remembered.
	Lookup(incarnation ident.Incarnation) (Member, bool)
}
