// Package ingress bounds what clients can make a process hold: the memory of request bodies, and the
// connections.
//
// Invariants: the pieces of all bodies are charged to one Account before they are allocated, and their
// sum never exceeds its capacity. A body that was evicted holds no pieces. The Account's mutex is
// taken alone, and not held while a body is read.
package ingress
