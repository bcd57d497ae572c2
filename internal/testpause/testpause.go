// Package testpause lets a fault test hold a process at a named point, so that
// the test knows where the process is when it kills or stops it.
//
// If the environment variable MANGOLEDGE_TEST_PAUSE_DIR is not set, no process waits.
// If it is set, a process that reaches a point for which that directory has a hold
// file creates a reached file there and waits until the hold file is removed.
package testpause

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// DirVariable names the environment variable that holds the directory.
const DirVariable = "MANGOLEDGE_TEST_PAUSE_DIR"

// pollInterval is the time between two checks for the hold file.
const pollInterval = 5 * time.Millisecond

// Point is a place in the code at which a process can be held.
type Point string

// The points.
const (
	// Granted is between the grant and the dispatch of a non-idempotent request.
	Granted Point = "granted"
	// HandOverOffered is after the successor has acknowledged a witness table, before the table closes.
	HandOverOffered Point = "handover-offered"
	// HandOverClosed is after the table has closed, before its first part is sent.
	HandOverClosed Point = "handover-closed"
	// HandOverPartSent is between two parts of the table.
	HandOverPartSent Point = "handover-part-sent"
	// HandOverInstalled is after the successor has answered, before other nodes are told.
	HandOverInstalled Point = "handover-installed"
	// CapacityStart is between the check of the lease and the start of a host.
	CapacityStart Point = "capacity-start"
	// CapacityOrder is between the check of the lease and an order to an engine.
	CapacityOrder Point = "capacity-order"
)

// HoldPath returns the path of the file that holds process pid at point.
func HoldPath(dir string, point Point, pid int) string {
	return filepath.Join(dir, fmt.Sprintf("%s.%d.hold", point, pid))
}

// ReachedPath returns the path of the file that process pid creates when it is held at point.
func ReachedPath(dir string, point Point, pid int) string {
	return filepath.Join(dir, fmt.Sprintf("%s.%d.reached", point, pid))
}

// At waits while a test holds this process at point.
func At(point Point) {
	dir := os.Getenv(DirVariable)
	if dir == "" {
		return
	}
	hold := HoldPath(dir, point, os.Getpid())
	for reported := false; exists(hold); time.Sleep(pollInterval) {
		if !reported {
			reported = os.WriteFile(ReachedPath(dir, point, os.Getpid()), nil, 0o600) == nil
		}
	}
}

// exists reports whether there is a file at path.
func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
