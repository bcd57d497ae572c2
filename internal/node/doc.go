// Package node puts one mangoledged process together: its listeners, its part
// in the membership, its witness table, its router and its requests, and takes
// them apart again when the node stops by plan or its host is reclaimed.
//
// Invariant: a node that leaves first stops handing out its address, then
// finishes or gives up its requests, then hands over its witness tables, and
// only then tells the others that it has left.
package node
