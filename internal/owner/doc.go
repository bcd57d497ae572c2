// Package owner gives each upstream one owner: the node that counts exactly
// what is in flight there and admits new work to it.
//
// The owner is found by rendezvous hash over the usable members of the
// upstream's failure domain, so all nodes with the same list agree without
// talking. A node that wants to send a request reserves a slot at an owner by
// one small call and then connects to the upstream itself; tokens make no
// second hop. Which owner to ask is chosen from a summary of a few bytes per
// owner and pool, and from where the prefix was sent before.
//
// An owner lets some more requests than there are slots stand in line at an
// upstream, so that a slot that comes free has its next request at once. Holders
// renew reservations many in one call.
//
// Invariants: two owners of one upstream for a moment, or none, cost load and
// never correctness; a reservation is counted once, however often it is asked
// for; every reservation ends by release, expiry or the loss of its holder.
//
// Lock order: Ledger.mu before routing.Table's lock; Directory.mu is a leaf.
package owner
