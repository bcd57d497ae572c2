// Package sse reads and writes server-sent events.
package sse

// Event is one server-sent event.
type Event struct {
	// Name is the value of the event field; empty for unnamed events and comments.
	Name string
	// Data is the value of the data fields, joined by line feeds; nil for a comment.
	Data []byte
	// Comment is true for a comment line, which senders use as a heartbeat.
	Comment bool
}
