// Package sse reads and writes server-sent events.
package sse

// Event is one server-sent event.
type Event struct {
	// Name is the event's name; empty for unnamed events and comments.
	Name string
	// Data is the event's data; nil for a comment.
	Data []byte
	// Comment is true for a comment line, which only proves that the sender is alive.
	Comment bool
}
