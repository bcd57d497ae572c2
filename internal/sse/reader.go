package sse

import (
	"bufio"
	"bytes"
	"io"

	"mangoledge.example/mangoledge/internal/bounded"
)

// MaxEventBytes is the maximum length of an event's data and of a single line, in bytes.
const MaxEventBytes = 4 << 20

// Reader reads server-sent events.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &Reader{scanner: scanner}
}

// BeforeLong makes the reader call f once, before it reads a line longer than limit bytes. An error from it ends the
// reading.
func (r *Reader) BeforeLong(limit int, f func() error) {
	called := false
	r.scanner.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		advance, line, err := bufio.ScanLines(data, atEOF)
		if advance == 0 && err == nil && len(data) > limit && !called {
			called = true
			err = f()
		}
		return advance, line, err
	})
}

// Next returns the next event or comment, or io.EOF at the end. An incomplete event at
// the end is dropped. The event's data remain valid after later calls.
func (r *Reader) Next() (Event, error) {
	var event Event
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		switch {
		case len(line) == 0:
			if event.Data != nil || event.Name != "" {
				return event, nil
			}
		case line[0] == ':':
			return Event{Comment: true}, nil
		case bytes.HasPrefix(line, []byte("event:")):
			event.Name = string(bytes.TrimPrefix(line[len("event:"):], []byte(" ")))
		case bytes.HasPrefix(line, []byte("data:")):
			part := bytes.TrimPrefix(line[len("data:"):], []byte(" "))
			if event.Data != nil {
				event.Data = append(event.Data, '\n')
			}
			if len(event.Data)+len(part) > MaxEventBytes {
				return Event{}, bounded.ErrTooLong
			}
			event.Data = append(event.Data, part...)
			if event.Data == nil {
				event.Data = []byte{}
			}
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}
