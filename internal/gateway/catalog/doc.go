// Package catalog holds a node's view of its deployment: the configuration in force and the
// upstreams that may take requests.
//
// Invariants: a configuration is replaced only by a later version; a malformed entry defines no
// upstream and changes no other; an upstream that is draining or gone is in no view taken
// afterwards, except that entries that expired while the store was unavailable are kept for a
// short time.
//
// Lock order: Catalog.mu is a leaf; no call is made while it is held.
package catalog
