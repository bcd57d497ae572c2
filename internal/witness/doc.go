// Package witness keeps the grant tables of this node's incarnation and of the
// predecessors that handed theirs over, answers other nodes about them, and
// finds the present place of any witness for this node's own calls.
//
// Invariants:
//   - a table answers in one place: a successor's table answers only after the
//     predecessor's was closed, and a closed table never answers again;
//   - a table has one successor for ever; when that one can't be reached, the
//     table is given up and its requests get the verdict "may have run";
//   - what can't be settled at the witness is never called "not run".
//
// Lock order: Service.mu before shard.mu; holding.mu is taken with neither held.
// No two shards are locked at once, and no call is made while a lock is held.
package witness
