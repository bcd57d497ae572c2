// Package routing chooses the upstream for a request.
//
// A Table holds what a node knows about upstreams: their properties, how many
// requests are in flight there, late load reports, prefixes that are likely
// cached, a circuit breaker and the time since they joined. A Router asks a
// Policy to choose among the usable replicas of a Table.
//
// Invariants: an upstream that is leaving, gone, starting or behind an open
// breaker is never chosen; an exact table never lets more requests in flight
// at an upstream than its slots and the allowed overcommit; counters of starts
// and ends only grow. Clocks and random sources are handed in; the package does
// no I/O.
//
// Lock order: Table.mu is a leaf; no call leaves the package while it is held.
package routing
