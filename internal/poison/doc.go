// Package poison recognises contents that crash the upstreams that run them,
// across resends, request IDs and nodes.
//
// A content is known by its fingerprint. A Registry keeps which upstreams
// crashed under it; registries of different nodes merge, so gossip can carry
// them. Each fingerprint has a coordinating node, found by rendezvous hash,
// whose Gate lets a content that never finished run at most as often at once as
// crashes are left to it; that bounds the crashes of one content in all. An
// upstream that died of a reclaim convicts nobody, and content that finishes is
// cleared once it did so often enough: one good answer among crashes acquits nothing.
// A convicted content is let out after a time that grows with its crashes, or by an
// operator.
//
// Invariants: merging is commutative, associative and idempotent; a cleared
// crash never comes back by merging; a convicted content is refused with NotRun.
// Clocks are handed in; the package does no I/O.
//
// Lock order: Gate.mu before Registry.mu.
package poison
