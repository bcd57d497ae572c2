// Package historycheck checks the recorded history of a test run for violations of
// the properties that must always hold.
//
// The history records what callers sent and received and what the stand-ins ran.
// The nodes' own counters and logs are not part of it. Each property has one
// checker, which returns every violation that it finds.
//
// Invariant: the checkers do not modify the history.
package historycheck
