// Package node assembles one mangoledged process from its listeners, its cluster
// membership, its witness tables, its router and its request dispatcher. It shuts
// them down when the node is drained or its host is reclaimed.
//
// Invariant: a node that leaves first stops handing out its address, then
// finishes or releases its requests, then hands over its witness tables, and
// only then announces to the other members that it has left.
package node
