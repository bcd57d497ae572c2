package httpconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is an HTTP request.
type Request struct {
	Method string
	// Target is the request target: path and query as in the request line.
	Target string
	Host   string
	Header http.Header
	// Body holds the body in pieces, in order.
	Body [][]byte
	// MaxIdle is the longest time that a reused connection may have been idle; 0 always
	// establishes a new connection.
	MaxIdle time.Duration
	// ResetOnClose discards what the peer has not received yet when the connection is closed.
	// Otherwise it may still arrive, seconds later after a partition.
	ResetOnClose bool
	// Prepare, if not nil, is called once a connection is available. It sets headers that
	// depend on the time of sending, or returns an error if the request must not be sent any
	// more.
	Prepare func(http.Header) error
}

// prepare calls Prepare, if set.
func (r *Request) prepare() error {
	if r.Prepare == nil {
		return nil
	}
	return r.Prepare(r.Header)
}

// encode returns the request header, followed by the body if it is at most inlineBodyBytes
// long.
func (r *Request) encode() *bytes.Buffer {
	var b bytes.Buffer
	size := r.bodySize()
	b.Grow(headerBufferBytes + min(size, inlineBodyBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // bytes.Buffer never returns an error
	if size > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(size))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if size <= inlineBodyBytes {
		_ = r.writeBody(&b) // bytes.Buffer never returns an error
	}
	return &b
}

// bodySize returns the length of the body in bytes.
func (r *Request) bodySize() int {
	size := 0
	for _, piece := range r.Body {
		size += len(piece)
	}
	return size
}

// writeBody writes the body to w.
func (r *Request) writeBody(w io.Writer) error {
	for _, piece := range r.Body {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
