// Package server puts a gateway process together: its listeners, what follows the
// platform's store, the exchange with other nodes, and the duties.
//
// Invariants: listeners are open before anything is known, and answer truthfully;
// after the request to stop the process is in no directory answer of its own, takes
// no new connections once clients had time to turn away, and cuts off nothing that
// ends within its grace; a process that starts hands out nothing that those before it
// may have handed out, and forgets nothing that all nodes must know.
//
// Lock order: contentGuard.mu before the lock of its registry, budgets.mu before those of
// a budget and of the nodes' registry; deathCheck.mu is a leaf.
package server
