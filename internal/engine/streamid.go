package engine

import (
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// streamSeparator stands between request ID and generation in a stream's ID.
const streamSeparator = "~"

// StreamID is the name that engines know a completion by. It names the
// generation too, so that a node that was taken over from and does not know it
// yet can't displace the stream of its successor.
func StreamID(id ident.RequestID, generation ident.Generation) string {
	return id.String() + streamSeparator + string(generation)
}

// RequestIDOf returns the request ID inside a stream's ID.
func RequestIDOf(streamID string) string {
	id, _, _ := strings.Cut(streamID, streamSeparator)
	return id
}
