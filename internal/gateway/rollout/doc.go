// Package rollout moves a service's requests from one version of its upstreams to another, as the
// operator ordered, and stops a version that answers worse than the one before.
//
// Every node keeps, by itself, the requests that it sends to a new version below a share of its own
// requests. Nodes tell each other what both versions answered, and each compares the versions. The
// holder of the duty lease writes the state of an order to the store.
//
// Invariants: while a version is not proven, a node sends it no more than its share; a version that
// was found bad, by this node or by one that it heard from, gets no request until the store says
// otherwise; the store's word on the end of an order is final.
//
// Lock order: Rollouts.mu is a leaf.
package rollout
