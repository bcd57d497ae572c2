// Package fleet tracks the upstreams that a node can send requests to, which are
// model replicas and plain services, and which of them are leaving.
//
// The list of upstreams comes from the platform's object API (Registry). A node
// that learns that an upstream or a host is leaving broadcasts a mark to the other
// nodes; the configuration can also declare a drain (LeavingMarks). One source of marks
// is the platform's host list, which the nodes take turns to poll (HostListWatch).
//
// Invariants and lock order are documented at Registry and LeavingMarks.
package fleet
