// Package retry decides whether and when a request is retried after a failed attempt.
//
// Invariants: no retry of a non-idempotent request after MayHaveRun or Ran; no retry
// that would start at or after the deadline; retries never exceed the budget's share of
// first attempts plus its reserve; the shared budgets of many nodes together stay within
// this bound in every window, whenever processes restart. Clocks and random sources are
// passed in; the package performs no I/O.
//
// Lock order: Policy.mu and Budget.mu are leaves and never held together.
package retry
