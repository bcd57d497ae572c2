package grant

import "github.com/cockroachdb/errors"

// Errors returned by a Table. A call that returns an error has not changed any entry.
var (
	// ErrClosed is returned by a table that was closed for a hand-over; its successor answers.
	ErrClosed = errors.New("the table was closed for a hand-over")
	// ErrNotInstalled is returned by a successor's table before its snapshot is installed.
	ErrNotInstalled = errors.New("the table has not been handed over yet")
	// ErrOtherSuccessor is returned when a table is closed for a second successor.
	ErrOtherSuccessor = errors.New("the table has another successor")
	// ErrNotClosed is returned when a snapshot is requested from a table that still grants.
	ErrNotClosed = errors.New("the table was not closed")
	// ErrWrongWorkspace is returned when the request belongs to another workspace.
	ErrWrongWorkspace = errors.New("the request belongs to another workspace")
	// ErrFull is returned for a non-idempotent request that has no entry in a full table.
	// Such a request was never granted and never will be.
	ErrFull = errors.New("the table takes no further non-idempotent requests")
	// ErrNoMemory is returned for a new request whose input there is no room for. The request has no entry.
	ErrNoMemory = errors.New("no memory for the request's input")
	// ErrNotFinal is returned when a request is finished in a phase that is not final.
	ErrNotFinal = errors.New("the phase is not final")
	// ErrNotGranted is returned when a non-idempotent request is finished as done without a grant.
	ErrNotGranted = errors.New("the request was not granted")
)
