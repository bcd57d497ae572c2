package engine

import (
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// streamSeparator separates the request ID from the generation in a stream's ID.
const streamSeparator = "~"

// StreamID returns the ID of a completion at engines. It includes the generation, so
// that a node that has been replaced and does not know it yet can't displace the stream
// of its successor.
func StreamID(id ident.RequestID, generation ident.Generation) string {
	return id.String() + streamSeparator + string(generation)
}

// RequestIDOf returns the request ID that a stream's ID contains.
func RequestIDOf(streamID string) string {
	id, _, _ := strings.Cut(streamID, streamSeparator)
	return id
}
