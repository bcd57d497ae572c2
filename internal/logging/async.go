package logging

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is how many lines wait for a slow target before further lines are dropped.
const maxQueuedLines = 4096

// AsyncWriter is a log writer that never blocks. Lines that its target does not accept in time
// are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer to w and starts the goroutine that writes; Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			_, _ = w.Write(line) // there is no other place to report a failed write
		}
	}()
	return a
}

// Write queues a copy of one line, or drops it if the queue is full. It never blocks or returns an error.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and ends the goroutine. Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}
