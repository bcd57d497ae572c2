// Package ingress bounds what clients can make a process hold: the memory of request bodies, the
// connections, and the bytes that the kernel has received for them. Both modes of the daemon use it.
//
// Invariants: the pieces of all bodies are charged to one Account before they are allocated, and their
// sum never exceeds its capacity. A body that was evicted holds no pieces. The receive buffer of an open
// connection is never made smaller.
//
// Lock order: a ConnTable's mutex before that of its ReceiveBuffers. The Account's is taken alone. None is
// held while a connection is read or written.
package ingress
