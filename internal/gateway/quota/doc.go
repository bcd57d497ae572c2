// Package quota bounds what a workspace spends over all nodes. Each node keeps the
// same account of the units spent within the last window, by itself and, as far as
// it hears, by the others.
//
// A workspace may spend its rate times the window and its burst within any window.
// Requests are paced by what is left of that: nobody notices while there is much,
// and a workspace that asks for too much is served evenly and not in turns of
// everything and nothing.
//
// Invariants: what nodes that hear each other save up, and give out while a message is on
// its way, adds up to what is left of the window, so no window holds more than its bound
// and one request of each node, whenever a workspace begins at however many nodes; a
// node that is not heard is taken to spend its equal share, and takes no others' share
// itself, so nodes that are cut off from each other do not hand out the same units twice;
// a process that starts anew takes the window before it as fully spent until it has a
// checkpoint, and the time since the checkpoint then; the first processes of all spend
// once they know each other. The package does no I/O and gets its clock handed in.
//
// Lock order: Ledger.mu is a leaf.
package quota
