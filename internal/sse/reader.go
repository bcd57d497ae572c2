package sse

import (
	"bufio"
	"bytes"
	"io"

	"mangoledge.example/mangoledge/internal/bounded"
)

// maxEventBytes is the longest event that is read, and the longest line of one, in bytes.
const maxEventBytes = 4 << 20

// Reader reads events.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &Reader{scanner: scanner}
}

// Next returns the next event or comment, io.EOF at the end. The event's data
// stay valid after the next call.
func (r *Reader) Next() (Event, error) {
	var out Event
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		switch {
		case len(line) == 0:
			if out.Data != nil || out.Name != "" {
				return out, nil
			}
		case line[0] == ':':
			return Event{Comment: true}, nil
		case bytes.HasPrefix(line, []byte("event:")):
			out.Name = string(bytes.TrimPrefix(line[len("event:"):], []byte(" ")))
		case bytes.HasPrefix(line, []byte("data:")):
			part := bytes.TrimPrefix(line[len("data:"):], []byte(" "))
			if out.Data != nil {
				out.Data = append(out.Data, '\n')
			}
			if len(out.Data)+len(part) > maxEventBytes {
				return Event{}, bounded.ErrTooLong
			}
			out.Data = append(out.Data, part...)
			if out.Data == nil {
				out.Data = []byte{}
			}
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}
