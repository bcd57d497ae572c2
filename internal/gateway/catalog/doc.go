// Package catalog holds a node's view of its deployment: the configuration in force and the
// upstreams that may take requests.
//
// Invariants: a configuration is replaced only by a later version; a malformed entry defines no
// upstream and changes no other; an upstream that is draining or gone is in no view taken
// afterwards, except that entries that expired while the store was unavailable are kept for a
// short time.
//
// Lock order: Configuration.mu is a leaf. Upstreams.mu is held while Upstreams.ReachableByPeers is
// called, so it comes before the locks that this function takes.
package catalog
