package dispatch

import (
	"io"
	"sync"
)

// payload is the body of a request to another node. Unlike that of a bytes.Reader, its memory is free once it was
// sent, and not only when the response has been read.
type payload struct {
	mu   sync.Mutex
	data []byte
}

// reader returns a reader of the data; another send of the same request reads it anew.
func (p *payload) reader() io.ReadCloser {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &payloadReader{rest: p.data}
}

// drop frees the data, except for readers that are still reading.
func (p *payload) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data = nil
}

type payloadReader struct {
	rest []byte
}

// Read reads data, and frees it at its end.
func (r *payloadReader) Read(p []byte) (int, error) {
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	if len(r.rest) > 0 {
		return n, nil
	}
	r.rest = nil
	return n, io.EOF
}

// Close does nothing.
func (r *payloadReader) Close() error { return nil }
