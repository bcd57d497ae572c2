package grant

import "github.com/cockroachdb/errors"

// Errors returned by a Table. A call that returns an error has not changed any entry.
var (
	// ErrClosed is returned by a table that was closed for a hand-over; its successor answers.
	ErrClosed = errors.New("witness table was closed for a hand-over")
	// ErrNotInstalled is returned by a successor's table before its snapshot is installed.
	ErrNotInstalled = errors.New("witness table has not received its snapshot yet")
	// ErrOtherSuccessor is returned when a table is closed for a second successor.
	ErrOtherSuccessor = errors.New("witness table already has another successor")
	// ErrNotClosed is returned when a snapshot is requested from a table that still grants.
	ErrNotClosed = errors.New("witness table must be closed before a snapshot is taken")
	// ErrWrongWorkspace is returned when the request belongs to another workspace.
	ErrWrongWorkspace = errors.New("the request belongs to another workspace")
	// ErrFull is returned for a non-idempotent request that has no entry in a full table.
	// Such a request was never granted and never will be.
	ErrFull = errors.New("witness table accepts no further non-idempotent requests")
	// ErrNotFinal is returned when a request is finished in a phase that is not final.
	ErrNotFinal = errors.New("request finished in a phase that is not final")
	// ErrNotGranted is returned when a non-idempotent request is finished as done without a grant.
	ErrNotGranted = errors.New("non-idempotent request finished as done without a grant")
)
