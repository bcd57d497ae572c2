package httpconn

import (
	"io"
	"time"
)

// blockedRead is the duration from which a read has waited for its peer, which then had not closed the
// connection before.
const blockedRead = 5 * time.Millisecond

// PromptReader measures how promptly a response is read. What its peer has written, and the end of the connection,
// may have waited since PromptAt: a reader that was held up may read them long after the peer's process has ended.
type PromptReader struct {
	io.Reader
	promptAt time.Time
}

// NewPromptReader returns a PromptReader of a response whose header has just been read.
func NewPromptReader(r io.Reader) *PromptReader {
	return &PromptReader{Reader: r, promptAt: time.Now()}
}

// Read reads from the underlying reader.
func (r *PromptReader) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := r.Reader.Read(p)
	if now := time.Now(); now.Sub(began) >= blockedRead {
		r.promptAt = now
	}
	return n, err
}

// PromptAt returns when the reader last had read all that its peer had written.
func (r *PromptReader) PromptAt() time.Time { return r.promptAt }
