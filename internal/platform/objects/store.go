// Package objects is the client of the platform's object API: JSON objects with
// versions, conditional updates and watches.
//
// Invariants: every call has a deadline; a write that had no answer is reported
// as KindUnknown and never repeated by this package; calls beyond the node's
// budget are not sent; a watch that went silent ends with KindSilent.
//
// Lock order: no lock of this package is held while a call is made.
package objects

import "context"

// Store is the object API. Its errors are *Error.
type Store interface {
	// Get reads one object. The answer may be older than an earlier one.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create makes an object that must not exist. KindConflict carries the one that does.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces the object if its version is still object.Metadata.ResourceVersion.
	// KindConflict carries the object that won.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// List reads all objects of a kind. The answer may be older than an earlier one.
	List(ctx context.Context, kind Kind) (List, error)
	// Watch hands every event after since to handle until ctx ends or the watch
	// breaks, and returns why it ended, never nil. It returns the error of handle as it is.
	Watch(ctx context.Context, kind Kind, since Version, handle func(Event) error) error
}

// EventType says what an event tells.
type EventType string

// The types of events.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	// EventBookmark proves that the watch is alive; its object has only a version.
	EventBookmark EventType = "BOOKMARK"
	// EventError ends the watch; its object's spec holds a Status.
	EventError EventType = "ERROR"
)

// Event is one event of a watch.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Status is the body of an answer that is an error.
type Status struct {
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	// Current is the object that a conflicting write lost to.
	Current *Object `json:"current,omitempty"`
}
