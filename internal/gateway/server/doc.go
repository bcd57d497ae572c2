// Package server assembles a gateway process: its listeners, the watch of the platform's
// store, the message exchange with other nodes, and the leader tasks. The node that holds the
// lease "gateway-duties" is the leader: it reports usage, writes checkpoints and scales.
//
// Invariants: listeners are open before any configuration is known and report the node's
// true state; a stopping process is not in its own directory responses, accepts no new
// connections once clients had time to switch to other nodes, and cuts off no request that
// ends within its grace period; a starting process grants no quota or retries that earlier
// processes may have granted already, and loses no state that all nodes must keep.
//
// Lock order: contentGuard.mu before the lock of its registry; retryBudgets.mu before the locks
// of a budget and of the node registry; no other lock is taken under livenessCheck.mu.
package server
