// Package peer carries calls between nodes: small control messages by net/rpc,
// streams by net/http, both on one TCP listener.
//
// Bodies of calls are msgpack. Structs go by the names of their fields without
// the empty ones, so that nodes of different releases understand each other;
// those marked as_array go by position, and a call with one of another length is
// refused. When a release changes what another can't read, its
// membership.CurrentProtocol is another, and nodes of the two call each other only
// for operators: their messages go by names.
//
// Invariants: every call has a deadline; a connection that went silent is
// replaced, not waited for, and one without calls for a while is closed; nothing
// large goes through net/rpc.
package peer
