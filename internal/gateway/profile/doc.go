// Package profile learns how fast the upstreams of a service are from the responses that all nodes
// see: a base time and a prefill rate for the service, and for each upstream its speed relative to
// the others.
//
// Nodes exchange their latest timings in the messages that they send anyway, so each node learns
// from the same timings and comes to about the same result. What they base choices on is a class of
// speed: a coarse step with hysteresis, on which nodes agree although some timings are lost.
//
// Invariants: one timing moves an estimate by a bounded amount; without timings an upstream is taken
// for as fast as the others. The package does no I/O; the time is passed in. It is not safe for
// concurrent use.
package profile
