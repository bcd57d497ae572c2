package httpconn

import (
	"bytes"
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
	Body   []byte
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
	b.Grow(headerBufferBytes + min(len(r.Body), inlineBodyBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // bytes.Buffer never returns an error
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= inlineBodyBytes {
		b.Write(r.Body)
	}
	return &b
}
