// Package admission decides whether a request is accepted and which accepted
// request goes next.
//
// Requests wait in one lane per pool of upstreams. Within a lane workspaces
// share by weighted fair queueing; within a workspace urgent requests go first,
// and waiting makes a request more urgent. A request that is unlikely to meet
// its deadline is refused before it is accepted; when a queue is full or
// capacity is lost, the requests worth the least for their cost are shed.
//
// Invariants: a lane never holds more than its bound, a workspace never more
// than its limit; a ticket is settled once; a request is never handed out after
// its deadline; whoever is refused here was not run; counters only grow.
// Clocks are handed in; the package does no I/O.
//
// Lock order: Controller.mu is a leaf; Settings.OnShed is called without it.
package admission
