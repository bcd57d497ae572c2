// Package quota limits what a workspace spends across all nodes. Each node keeps its own copy of
// the account: the units spent within the last window by itself and, as reported, by the other
// nodes.
//
// Within any window a workspace may spend its rate times the window, plus its burst (the window
// limit). Requests are paced by what is left of that: pacing is not noticeable while much is
// left, and a workspace that asks for too much is served evenly instead of alternating between
// everything and nothing.
//
// Invariants: what nodes that receive each other's messages may accumulate, plus what they hand
// out while a message is in transit, adds up to what is left of the window, so no window exceeds
// its limit by more than one request of each node, whenever a workspace starts to send requests and
// to however many nodes. A silent node is assumed to spend its equal share, and in turn does not
// use the shares of others, so nodes that are partitioned from each other do not hand out the same
// units twice. A starting process assumes that the preceding window was fully spent until it has a
// checkpoint, and then makes assumptions only about the time since the checkpoint. The first
// processes of a deployment start spending once they know each other. The package does no I/O; the
// clock is passed in.
//
// Lock order: Ledger.mu is a leaf.
package quota
