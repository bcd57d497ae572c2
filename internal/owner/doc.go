// Package owner assigns each upstream one owner: the node that keeps an exact
// count of the requests in flight there and admits new ones.
//
// The owner is found by rendezvous hash over the usable members of the upstream's
// failure domain, so all nodes with the same list agree without coordination. A
// node that wants to send a request reserves a slot with one small call to an
// owner and then connects to the upstream itself, so tokens pass through one node
// only. The owner to ask is chosen by a summary of a few bytes per owner and pool,
// and by a rendezvous hash of the prompt's prefix, which sends equal prefixes to the
// same owner.
//
// An owner accepts somewhat more requests than an upstream has slots and queues
// them, so that a slot that becomes free is used again at once. Holders renew many
// reservations in one call.
//
// Invariants: when an upstream briefly has two owners or none, this affects load
// only, never correctness; a reservation is counted once, however often it is
// requested; every reservation ends by release, expiry or the loss of its holder.
//
// Lock order: Ledger.mu before routing.Table's lock; Directory.mu is a leaf.
package owner
