//go:build review

// Package lab holds small stand-ins for the users' platform, replicas and clients, and starts gateway
// processes, for the cases of the review.
package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Log writes the record of a case. It is safe for concurrent use.
type Log struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// NewLog creates the record at path.
func NewLog(path string) (*Log, error) {
	file, err := os.Create(path)
	return &Log{began: time.Now(), file: file}, err
}

// Now returns the time since the record began.
func (l *Log) Now() time.Duration { return time.Since(l.began) }

// Printf adds a line with the time in seconds.
func (l *Log) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.file, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (l *Log) Close() { _ = l.file.Close() }
