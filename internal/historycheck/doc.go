// Package historycheck decides from the history of a run alone whether the
// properties that must always hold did hold.
//
// The history has two sides: what callers sent and were told, and what the
// stand-ins ran. The nodes' own counters and logs are no part of it. Each
// property has one checker; a checker returns every violation that it finds.
//
// Invariant: the checkers read the history and change nothing in it.
package historycheck
