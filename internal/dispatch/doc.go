// Package dispatch takes a caller's request from its acceptance to its final
// answer: it claims the request at its witness, sends it to an upstream, moves
// it when the upstream leaves or fails, and lets callers follow it from any node.
//
// Invariants:
//   - a non-idempotent request is sent to an upstream only under a grant of its
//     witness, and at most once;
//   - "not run" is said of a non-idempotent request only by its granted or
//     voiding holder;
//   - the tokens that a caller is given are of one generation, or of a later one
//     that goes on behind the very tokens the caller holds;
//   - a request in a final phase never changes again.
//
// Lock order: table shard, then entry; neither is held during a call. The lock of
// the learnt costs is a leaf.
package dispatch
