package httpconn

import (
	"io"
	"time"
)

// blockedRead is the duration from which a read has waited for its peer, which then had not closed the
// connection before. It is longer than a round trip, after which a peer may send what had no room before.
const blockedRead = 5 * time.Millisecond

// PromptReader measures how promptly a response is read. While its reader does something else, what the peer has
// written waits, and so does the end of the connection, perhaps until long after the peer's process has ended.
type PromptReader struct {
	io.Reader
	// heldUp is the time that was not spent reading since a read last waited for the peer.
	heldUp time.Duration
	// readAt is when the last read returned.
	readAt time.Time
}

// NewPromptReader returns a PromptReader of a response whose header has just been read.
func NewPromptReader(r io.Reader) *PromptReader { return &PromptReader{Reader: r, readAt: time.Now()} }

// Read reads from the underlying reader.
func (r *PromptReader) Read(p []byte) (int, error) {
	began := time.Now()
	r.heldUp += began.Sub(r.readAt)
	n, err := r.Reader.Read(p)
	r.readAt = time.Now()
	if r.readAt.Sub(began) >= blockedRead {
		r.heldUp = 0
	}
	return n, err
}

// AliveAt returns a time until which the peer had not closed the connection when the last read returned.
func (r *PromptReader) AliveAt() time.Time { return r.readAt.Add(-r.heldUp) }
