package sse

import (
	"encoding/json"
	"io"
)

// heartbeatLine is a comment that keeps a quiet stream provably alive.
const heartbeatLine = ": alive\n\n"

// Write writes one event with value as JSON data, in one call of w.Write.
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

// WriteHeartbeat writes a comment.
func WriteHeartbeat(w io.Writer) error {
	_, err := io.WriteString(w, heartbeatLine)
	return err
}
