// Package poison detects request contents that crash the upstreams that run them, across
// resends, request IDs and nodes, and quarantines them.
//
// Content is identified by its fingerprint. A Registry stores which upstreams crashed
// while running it; registries of different nodes can be merged, so gossip can carry
// them. Each fingerprint has a coordinating node, chosen by rendezvous hashing, whose Gate
// limits concurrent runs of content that has never finished to the number of crashes
// left until quarantine. This bounds the total number of crashes caused by one content.
// A crash caused by a reclaim does not count. Crashes of content that finishes are
// dismissed only after many successful runs: one success among crashes proves little.
// Quarantine ends after a time that grows with the number of crashes, or when an
// operator clears the content.
//
// Invariants: merging is commutative, associative and idempotent; a cleared crash never
// returns by merging; quarantined content is refused with NotRun. Clocks are passed in;
// the package performs no I/O.
//
// Lock order: Gate.mu before Registry.mu.
package poison
