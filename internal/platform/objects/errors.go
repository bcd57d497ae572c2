package objects

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrorKind classifies an error by its meaning for the failed call.
type ErrorKind uint8

const (
	// KindUnknown means that a write may or may not have taken effect. It is deliberately the zero value.
	KindUnknown ErrorKind = iota
	// KindUnavailable means that the call certainly had no effect: it was not sent, or it was a read.
	KindUnavailable
	// KindRefused means that the store rejected the call, or that the object cannot be encoded or is too large.
	KindRefused
	// KindConflict means that the object had another version; Error.Current is the stored object.
	KindConflict
	// KindNotFound means that there is no such object.
	KindNotFound
	// KindCompacted means that the version is too old to be watched from; list again.
	KindCompacted
	// KindWatchIdle means that a watch received no event or bookmark within its time limit.
	KindWatchIdle
)

// String returns the kind as written in logs.
func (k ErrorKind) String() string {
	switch k {
	case KindUnknown:
		return "unknown"
	case KindUnavailable:
		return "unavailable"
	case KindRefused:
		return "refused"
	case KindConflict:
		return "conflict"
	case KindNotFound:
		return "not found"
	case KindCompacted:
		return "compacted"
	case KindWatchIdle:
		return "silent"
	}
	return "unknown"
}

// Error is the error of a call to the store.
type Error struct {
	Kind ErrorKind
	// Call is the call, such as "update sites/site".
	Call string
	// Status is the HTTP status, or 0 when there was no response.
	Status int
	// Message is the store's error message, or empty.
	Message string
	// Current is the stored object that a write conflicted with, if the store returned it.
	Current *Object
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns call, kind, message and cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Call, e.Kind)
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err; an error that is not an *Error is KindUnknown.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// CurrentOf returns the stored object that the failed write conflicted with, if known.
func CurrentOf(err error) (Object, bool) {
	var e *Error
	if errors.As(err, &e) && e.Current != nil {
		return *e.Current, true
	}
	return Object{}, false
}
