// Package balance chooses an upstream for each request.
//
// The cost of an upstream is the estimated time to the first event of its response: the prompt
// tokens already waiting there, sent by this node or by others, and the request's tokens that the
// upstream has not cached, at the speed measured for the upstream. All nodes rank the upstreams
// for a prompt part by the same rendezvous hash, so requests that share a part go to one upstream
// without coordination. A long queue there diverts requests to other upstreams.
//
// Invariants: an upstream is never chosen if it is not among the candidates, if it announced that
// it is leaving, or while it asked for no requests; each ticket ends exactly once. The package
// does no I/O; the clock is passed in.
//
// Lock order: Balancer.mu is a leaf.
package balance
