// Package recovery decides how a stream continues whose upstream is leaving or was
// lost: stay until it ends, reattach, transfer the KV cache, or prefill again.
//
// Invariant: a plan that depends on the leaving upstream completes before its notice
// period ends. The package does no I/O and reads no clock.
package recovery
