package objects

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrorKind says what an error means for the call behind it.
type ErrorKind uint8

const (
	// KindUnknown means that a write may or may not have taken effect. It is the zero value on purpose.
	KindUnknown ErrorKind = iota
	// KindUnavailable means that the call certainly had no effect: it was not sent, or it was a read.
	KindUnavailable
	// KindRefused means that the store refused the call, or the object can't be sent at all.
	KindRefused
	// KindConflict means that the object had another version; Error.Current is what won.
	KindConflict
	// KindNotFound means that there is no such object.
	KindNotFound
	// KindCompacted means that the version is too old to be watched from; list again.
	KindCompacted
	// KindSilent means that a watch proved nothing for too long.
	KindSilent
)

// String returns the kind as logs spell it.
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
	case KindSilent:
		return "silent"
	}
	return "unknown"
}

// Error is the error of a call to the store.
type Error struct {
	Kind ErrorKind
	// Call is the call, such as "update sites/site".
	Call string
	// Status is the HTTP status, or 0 when there was no answer.
	Status int
	// Message is the store's own word, or empty.
	Message string
	// Current is the object that a conflicting write lost to, when the store told it.
	Current *Object
	// Cause is the error below, or nil.
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

// KindOf returns the kind of err; an error that is no *Error is KindUnknown.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// CurrentOf returns the object that the write behind err lost to.
func CurrentOf(err error) (Object, bool) {
	var e *Error
	if errors.As(err, &e) && e.Current != nil {
		return *e.Current, true
	}
	return Object{}, false
}
