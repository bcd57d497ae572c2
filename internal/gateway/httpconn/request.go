package httpconn

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is one request to send.
type Request struct {
	Method string
	// Target is path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time that the connection used may have been idle; 0
	// takes a new connection.
	MaxIdle time.Duration
	// Prepare, unless nil, sets headers that depend on when the request is written, or says
	// why it must not be written any more. It is called once a connection is there.
	Prepare func(http.Header) error
}

func (r *Request) prepare() error {
	if r.Prepare == nil {
		return nil
	}
	return r.Prepare(r.Header)
}

// encode returns the head of the request and, when it is short, its body behind it.
func (r *Request) encode() *bytes.Buffer {
	var b bytes.Buffer
	b.Grow(headBytes + min(len(r.Body), inlineBodyBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
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
