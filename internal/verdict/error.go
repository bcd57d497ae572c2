package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Code names the reason of a refusal or failure; callers may switch on it.
type Code string

// The codes that callers meet.
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

// Error is an error with a verdict. Its fields are exported so that it travels between nodes.
type Error struct {
	Verdict Verdict
	Code    Code
	// Field is the field of the input at fault, or empty.
	Field   string
	Message string
	// RetryAfter is when to come back, or 0 when coming back is of no use.
	RetryAfter time.Duration
}

// New makes an Error.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// BadInput makes the Error for a field of the input that is at fault.
func BadInput(field, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: CodeBadInput, Field: field, Message: fmt.Sprintf(format, args...)}
}

// After returns a copy of e that tells the caller when to come back.
func (e *Error) After(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// Error returns the message with code and verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Verdict)
}

// From returns the Error inside err; an error without one becomes MayHaveRun.
func From(err error) *Error {
	var out *Error
	if errors.As(err, &out) {
		return out
	}
	return New(MayHaveRun, CodeInternal, "%v", err)
}
