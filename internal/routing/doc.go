// Package routing chooses the upstream for a request.
//
// A Table holds what a node knows about upstreams: their properties, requests
// in flight, load reports (which arrive with a delay), prompt prefixes that are
// probably cached, a circuit breaker and the time since they joined. A Router
// applies a Policy to choose among the usable replicas of a Table.
//
// Invariants: an upstream that is leaving, gone, starting or behind an open
// breaker is never chosen; an exact table never admits more requests to an
// upstream than its slots plus the allowed overcommit; the counters of started
// and ended requests never decrease. Clocks and random sources are passed in;
// the package performs no I/O.
//
// Lock order: Table.mu is a leaf; no call leaves the package while it is held.
package routing
