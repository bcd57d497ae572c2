// Package history lets stand-ins write down what they ran, one JSON object a
// line, so that a checker can decide from it alone. Every line is on file
// before the work it tells of begins.
package history

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is the kind of an Entry.
type Event string

// The events.
const (
	// EventStart is written before a request begins to run.
	EventStart Event = "start"
	// EventDone is written when a request has run to its end.
	EventDone Event = "done"
	// EventLeaving is written when a stand-in gets notice.
	EventLeaving Event = "leaving"
	// EventCrash is written right before a stand-in crashes.
	EventCrash Event = "crash"
	// EventRefused is written when a stand-in that is leaving turns new work away.
	EventRefused Event = "refused"
	// EventExport is written when a cache was exported.
	EventExport Event = "export"
	// EventOrder is written before an order takes effect.
	EventOrder Event = "order"
	// EventFenced is written when an order is refused for its old fencing number.
	EventFenced Event = "fenced"
)

// Entry is one line.
type Entry struct {
	At        time.Time `json:"at"`
	Standin   string    `json:"standin"`
	Event     Event     `json:"event"`
	RequestID string    `json:"requestId,omitempty"`
	// Prefix is the number of tokens that were already there.
	Prefix int `json:"prefix,omitempty"`
	// Recomputed is the number of tokens computed again for want of a cache.
	Recomputed int `json:"recomputed,omitempty"`
	// Order and Fencing are an order in words and its fencing number.
	Order   string `json:"order,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}

// Log appends entries to a file.
type Log struct {
	mu      sync.Mutex
	file    *os.File
	standin string
}

// Open opens the log of standin at path for appending; an empty path discards all entries.
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

// Write adds an entry.
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

// Read reads the entries of the files at paths; a line cut off by a crash is passed over.
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
