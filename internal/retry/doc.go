// Package retry decides whether and when a request is tried again after a
// failed attempt.
//
// Invariants: no retry after MayHaveRun or Ran on a request that is not
// idempotent; no retry that would begin at or after the deadline; retries never
// exceed the budget's share of first attempts plus its reserve; those of shared budgets
// on many nodes do not within any window, whenever processes start anew. Clocks and
// random sources are handed in; the package does no I/O.
//
// Lock order: Policy.mu and Budget.mu are leaves and never held together.
package retry
