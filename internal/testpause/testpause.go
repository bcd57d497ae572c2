// Package testpause lets a fault test hold a process at a named point, so that
// the test knows where the process is when it kills or stops it.
//
// Without the environment variable MANGOLEDGE_TEST_PAUSE_DIR nothing ever waits.
// With it, a process that comes to a point for which there is a hold file in
// that directory makes a reached file there and waits until the hold is gone.
package testpause

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// DirVariable names the environment variable that holds the directory.
const DirVariable = "MANGOLEDGE_TEST_PAUSE_DIR"

// pollInterval is the time between two looks for the hold.
const pollInterval = 5 * time.Millisecond

// Point is a place in the code.
type Point string

// The points.
const (
	// Granted is between the grant and the dispatch of a non-idempotent request.
	Granted Point = "granted"
	// HandOverOffered is after the successor has acknowledged a witness table, before the table closes.
	HandOverOffered Point = "handover-offered"
	// HandOverClosed is after the close, before the first part is sent.
	HandOverClosed Point = "handover-closed"
	// HandOverPartSent is between two parts of the table.
	HandOverPartSent Point = "handover-part-sent"
	// HandOverInstalled is after the successor answers, before anybody else hears of it.
	HandOverInstalled Point = "handover-installed"
	// CapacityStart is between the check of the lease and the start of a host.
	CapacityStart Point = "capacity-start"
	// CapacityOrder is between the check of the lease and an order to an engine.
	CapacityOrder Point = "capacity-order"
)

// HoldPath is the file that holds process pid at point.
func HoldPath(dir string, point Point, pid int) string {
	return filepath.Join(dir, fmt.Sprintf("%s.%d.hold", point, pid))
}

// ReachedPath is the file that tells that process pid is held at point.
func ReachedPath(dir string, point Point, pid int) string {
	return filepath.Join(dir, fmt.Sprintf("%s.%d.reached", point, pid))
}

// At waits for as long as a test holds this process at point.
func At(point Point) {
	dir := os.Getenv(DirVariable)
	if dir == "" {
		return
	}
	hold := HoldPath(dir, point, os.Getpid())
	for told := false; exists(hold); time.Sleep(pollInterval) {
		if !told {
			told = os.WriteFile(ReachedPath(dir, point, os.Getpid()), nil, 0o600) == nil
		}
	}
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
