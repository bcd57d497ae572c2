// Package recovery decides how a stream goes on whose upstream is leaving or
// was lost: stay to its end, attach again, move the KV cache, or prefill again.
//
// Invariant: a plan that needs the upstream's help ends before the notice does.
// The package is pure arithmetic.
package recovery
