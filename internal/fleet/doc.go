// Package fleet holds what a node knows about the upstreams: the model
// replicas and plain services that requests are sent to, and which of them are
// leaving.
//
// The list of upstreams comes from the platform's object API (Registry). That an
// upstream or a host is leaving is learnt at any node and spread as a mark, or
// declared by the configuration as a drain (Leaving). One of the ways it is learnt is
// the platform's host list, which the nodes read by turns (HostListWatch).
//
// Invariants and locks are told at Registry and Leaving.
package fleet
