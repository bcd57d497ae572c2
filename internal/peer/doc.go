// Package peer carries calls between nodes: small control messages over net/rpc and
// streams over net/http, both on one TCP listener.
//
// Bodies of calls are msgpack. Structs are encoded as maps by field name without empty
// fields, so that nodes of different releases understand each other. Structs marked
// as_array are encoded by position, and a call whose array has a different length is
// refused. A release with incompatible messages has a different
// membership.CurrentProtocol. Nodes with different protocols call each other only for
// operator commands, whose messages are encoded by field name.
//
// Invariants: every call has a deadline; a connection that stops answering is replaced,
// not waited for; an idle connection is closed; nothing large goes through net/rpc.
package peer
