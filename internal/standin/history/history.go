// Package history records what stand-ins ran, one JSON object per line, so that a
// checker needs no other source. The line of a start or an order is written to the
// file before the work begins.
package history

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event says what an Entry records.
type Event string

// The events.
const (
	// EventStart is written before a request begins to run.
	EventStart Event = "start"
	// EventDone is written when a request has run to its end.
	EventDone Event = "done"
	// EventLeaving is written when a stand-in is told to leave.
	EventLeaving Event = "leaving"
	// EventCrash is written right before a stand-in crashes.
	EventCrash Event = "crash"
	// EventRefused is written when a stand-in that is leaving refuses a request.
	EventRefused Event = "refused"
	// EventExport is written when a KV cache was exported.
	EventExport Event = "export"
	// EventOrder is written before an order takes effect.
	EventOrder Event = "order"
	// EventFenced is written when an order is refused because its fencing number is old.
	EventFenced Event = "fenced"
)

// Entry is one line of a history.
type Entry struct {
	At        time.Time `json:"at"`
	Standin   string    `json:"standin"`
	Event     Event     `json:"event"`
	RequestID string    `json:"requestId,omitempty"`
	// Prefix is the number of tokens that the request already had at its start.
	Prefix int `json:"prefix,omitempty"`
	// Recomputed is the number of tokens computed again because they were not cached.
	Recomputed int `json:"recomputed,omitempty"`
	// Order and Fencing are an order as text and its fencing number.
	Order   string `json:"order,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}

// Log appends entries to the history file of one stand-in. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	file    *os.File
	standin string
}

// Open opens the history of the stand-in named standin at path for appending. With an
// empty path, the Log discards all entries.
func Open(path, standin string) (*Log, error) {
	if path == "" {
		return &Log{standin: standin}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &Log{file: file, standin: standin}, nil
}

// Write appends entry with the current time and the stand-in's name. Errors are ignored.
func (l *Log) Write(entry Entry) {
	if l.file == nil {
		return
	}
	entry.At = time.Now()
	entry.Standin = l.standin
	line, err := json.Marshal(entry)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(line, '\n'))
}

// Read returns the entries of the files at paths. It skips lines that are not valid,
// such as one cut off by a crash.
func Read(paths ...string) ([]Entry, error) {
	var out []Entry
	for _, path := range paths {
		entries, err := readFile(path)
		if err != nil {
			return nil, err
		}
		out = append(out, entries...)
	}
	return out, nil
}

// readFile returns the entries of the file at path.
func readFile(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var out []Entry
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var entry Entry
		if json.Unmarshal(scanner.Bytes(), &entry) == nil {
			out = append(out, entry)
		}
	}
	return out, scanner.Err()
}
