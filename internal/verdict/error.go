package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the machine-readable reason of a refusal or failure.
type Code string

// The codes that callers can receive.
const (
	CodeBadInput          Code = "bad_input"
	CodeUnauthorized      Code = "unauthorized"
	CodeForbidden         Code = "forbidden"
	CodeUnknownRequest    Code = "unknown_request"
	CodeUnknownModel      Code = "unknown_model"
	CodeUnknownService    Code = "unknown_service"
	CodeTooLarge          Code = "too_large"
	CodeOverloaded        Code = "overloaded"
	CodeDeadline          Code = "deadline"
	CodeDeadlineUnlikely  Code = "deadline_unlikely"
	CodeNoUpstream        Code = "no_upstream"
	CodeUpstreamFailed    Code = "upstream_failed"
	CodeWitnessLost       Code = "witness_lost"
	CodeGrantTaken        Code = "grant_taken"
	CodePrefixExpired     Code = "prefix_expired"
	CodeProgressLost      Code = "progress_lost"
	CodeGenerationChanged Code = "generation_changed"
	CodeCancelled         Code = "cancelled"
	CodePoison            Code = "poison"
	CodeStopping          Code = "stopping"
	CodeStale             Code = "stale"
	CodeNodeLost          Code = "node_lost"
	CodeInternal          Code = "internal"
)

// Error is an error with a verdict. Its fields are exported because nodes send it to
// each other.
type Error struct {
	Verdict Verdict
	Code    Code
	// Field is the invalid field of the input, or empty.
	Field   string
	Message string
	// RetryAfter is the delay before a retry, or 0 if a retry is of no use.
	RetryAfter time.Duration
}

// New returns an Error with a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// BadInput returns the Error for an invalid field of the input.
func BadInput(field, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: CodeBadInput, Field: field, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// Error returns the message followed by the code and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Verdict)
}

// From returns the *Error in the chain of err. An error without one is wrapped with
// the verdict MayHaveRun and CodeInternal.
func From(err error) *Error {
	var out *Error
	if errors.As(err, &out) {
		return out
	}
	return New(MayHaveRun, CodeInternal, "%v", err)
}
