// Package dispatch runs a caller's request from acceptance to final answer: it
// claims the request at its witness, sends it to an upstream, moves it when the
// upstream leaves or fails, and lets callers follow it from any node.
//
// Invariants:
//   - a non-idempotent request is sent to an upstream only under a grant from its
//     witness, and at most once;
//   - only the holder that was granted a non-idempotent request, or that had its
//     grant voided, reports it as not run;
//   - the tokens sent to a caller belong to one generation, or to a later one that
//     continues exactly the tokens the caller already has;
//   - a request in a final phase never changes again.
//
// Lock order: table shard, then entry; neither is held during a call. The lock of
// the cost model is a leaf.
package dispatch
