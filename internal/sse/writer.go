package sse

import (
	"encoding/json"
	"io"
)

// heartbeatLine is a comment that shows the reader of an idle stream that the sender is
// alive.
const heartbeatLine = ": alive\n\n"

// Write writes an event with value as JSON data, in a single call of w.Write. An empty
// name gives an unnamed event.
func Write(w io.Writer, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	out := make([]byte, 0, len(name)+len(data)+len("event: \ndata: \n\n"))
	if name != "" {
		out = append(out, "event: "...)
		out = append(out, name...)
		out = append(out, '\n')
	}
	out = append(out, "data: "...)
	out = append(out, data...)
	out = append(out, "\n\n"...)
	_, err = w.Write(out)
	return err
}

// WriteHeartbeat writes a comment that serves as a heartbeat.
func WriteHeartbeat(w io.Writer) error {
	_, err := io.WriteString(w, heartbeatLine)
	return err
}
