// Package objects is the client of the platform's object API: JSON objects with
// versions, conditional updates and watches.
//
// Invariants: every call has a deadline; a write without a response is reported
// as KindUnknown and never repeated by this package; calls beyond the node's
// budget are not sent; an idle watch ends with KindWatchIdle.
//
// Lock order: no lock of this package is held while a call is made.
package objects

import "context"

// Store is the object API. Its errors are *Error.
type Store interface {
	// Get reads one object. The result may be older than that of an earlier read.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create creates an object that must not exist yet. KindConflict carries the existing one.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces the object if its version is still object.Metadata.ResourceVersion.
	// KindConflict carries the stored object.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// List reads all objects of a kind. The result may be older than that of an earlier read.
	List(ctx context.Context, kind Kind) (List, error)
	// Watch calls handle with every event after since until ctx ends, the watch breaks or
	// handle fails. The returned error is never nil; an error of handle is returned unchanged.
	Watch(ctx context.Context, kind Kind, since Version, handle func(Event) error) error
}

// EventType is the type of a watch event.
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

// Status is the body of an error response.
type Status struct {
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	// Current is the stored object that a write conflicted with.
	Current *Object `json:"current,omitempty"`
}
