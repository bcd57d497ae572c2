// Package witness holds the grant tables of this node's incarnation and of the
// predecessors that handed theirs over, serves them to other nodes, and routes this
// node's own calls to the member that holds the table of a witness.
//
// Invariants:
//   - a table answers at one node only: a successor's table answers only after the
//     predecessor's was closed, and a closed table never answers again;
//   - a table has at most one successor, which never changes; if the successor can't
//     be reached, the table is lost and its requests get the verdict "may have run";
//   - a request that can't be decided at its witness is never reported as "not run".
//
// Lock order: Service.mu before shard.mu; heldTable.mu before shard.mu. Service.mu and
// heldTable.mu are never held together.
// No two shards are locked at once, and no call is made while a lock is held.
package witness
