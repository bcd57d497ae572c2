package httpconn

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// StageDial is the stage of an Error when no connection could be established.
	StageDial = "dial"
	// StagePrepare is the stage of an Error when Request.Prepare failed and the request was not
	// sent.
	StagePrepare = "prepare"
	// StageIdle is the stage of an Error when the peer closed a connection that carried no request.
	StageIdle = "idle"
)

// Error is a failed exchange, with the stage at which it failed.
type Error struct {
	// Sent is true if bytes of the request may have been sent, so that it may have run.
	Sent bool
	// Stage is one of StageDial, StagePrepare, StageIdle, "write" and "read".
	Stage string
	Cause error
}

// Error returns the stage and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// VerdictOf reports whether a request that failed with err may have run.
func VerdictOf(err error) verdict.Verdict {
	var failed *Error
	if errors.As(err, &failed) && !failed.Sent {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// ErrUnexpectedBytes means that an idle connection has bytes to read that belong to no request.
var ErrUnexpectedBytes = errors.New("unexpected bytes on an idle connection")
