// Package balance chooses the upstream of each request.
//
// The cost of an upstream is the time until it could give the first part of an
// answer: the prompt tokens that wait there, sent by this node or by others, and
// those of the request that its cache does not hold, at the speed that the upstream
// showed. Nodes rank upstreams for a prompt part by the same hash, so requests that
// share a part meet at one upstream without the nodes agreeing on it; a long line
// there sends a request elsewhere.
//
// Invariants: an upstream that is not in the list handed in is never chosen, nor one
// that said in an answer that it leaves, or that it wants to be left alone for a time
// that is not over; every ticket ends exactly once. The package does no I/O and gets its clock handed in.
//
// Lock order: Balancer.mu is a leaf.
package balance
