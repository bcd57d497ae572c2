package httpconn

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// StageDial is the stage of an Error when no connection was made.
	StageDial = "dial"
	// StagePrepare is the stage when the request was held back once a connection was there.
	StagePrepare = "prepare"
)

// Error is a failed exchange.
type Error struct {
	// Sent is true when bytes of the request may have left, so that it may have run.
	Sent bool
	// Stage is what was done when it failed: StageDial, StagePrepare, write, read, idle.
	Stage string
	Cause error
}

// Error returns stage and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// VerdictOf says whether a request that ended with err may have run.
func VerdictOf(err error) verdict.Verdict {
	var failed *Error
	if errors.As(err, &failed) && !failed.Sent {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// ErrSurplus is returned when bytes lie before an answer that no request waits for.
var ErrSurplus = errors.New("bytes on an idle connection")
