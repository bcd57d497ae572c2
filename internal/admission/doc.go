// Package admission decides whether a request is accepted and in which order
// accepted requests are dispatched.
//
// Requests wait in one queue per pool of upstreams. Within a queue, workspaces
// share capacity by weighted fair queueing; within a workspace, requests are
// ordered by priority, which rises with waiting time. A request that is unlikely
// to meet its deadline is refused before it is accepted. When a queue is full or
// capacity is lost, the requests with the lowest worth per cost are shed.
//
// Invariants: a queue never holds more requests than its limit, and a workspace
// never has more accepted requests than its limit; a ticket is settled once; a
// request is never dispatched after its deadline; a request refused here was not
// run; counters never decrease. Clocks are passed in; the package performs no I/O.
//
// Lock order: Controller.mu is a leaf; Settings.OnShed is called without it.
package admission
