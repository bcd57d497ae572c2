package httpconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
)

// Response is an answer whose body is still to be read. Exactly one of Finish and
// Abort ends it.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 when the answer does not say.
	ContentLength int64
	// Body ends with io.EOF only when the answer is complete.
	Body io.Reader

	pool    *Pool
	conn    *conn
	message *http.Response
	stop    func() bool
	// closeAfter is true when the connection is not to be used again.
	closeAfter bool
	// written receives the outcome of writing a long body.
	written chan error
	// writing is true while a long body is written beside the reading.
	writing bool
}

// write sends the request; a long body goes on beside the reading of the answer,
// which may come before the body is out.
func (r *Response) write(req *Request) error {
	head := req.encode()
	if _, err := r.conn.net.Write(head.Bytes()); err != nil {
		return err
	}
	if len(req.Body) <= inlineBodyBytes {
		return nil
	}
	r.writing = true
	go func() {
		_, err := io.Copy(r.conn.net, bytes.NewReader(req.Body))
		r.written <- err
	}()
	return nil
}

func (r *Response) readHead(req *Request) error {
	asked := &http.Request{Method: req.Method}
	r.conn.source.SetLimit(bounded.MaxHeadBytes) // interim answers included
	defer r.conn.source.SetLimit(-1)
	for range maxInformational {
		message, err := http.ReadResponse(r.conn.reader, asked) //nolint:bodyclose // Finish and Abort end the connection
		if err != nil {
			return err
		}
		if isInformational(message) {
			continue
		}
		r.message = message
		r.Status = message.StatusCode
		r.Header = message.Header
		r.ContentLength = message.ContentLength
		r.Body = message.Body
		return nil
	}
	return errors.New("no final answer")
}

// Discard ends a response whose body does not matter. Its connection is kept only if the
// rest of the body is short and comes at once.
func (r *Response) Discard() {
	// A connection that takes no deadline is closed below.
	_ = r.conn.net.SetReadDeadline(time.Now().Add(discardTime))
	_, err := bounded.ReadAll(r.Body, discardBytes)
	if err != nil || r.conn.net.SetReadDeadline(time.Time{}) != nil {
		r.Abort()
		return
	}
	r.Finish()
}

// CloseAfter has the connection closed once the answer is read.
func (r *Response) CloseAfter() { r.closeAfter = true }

// ConnectedAt is when the connection was made that the answer came over.
func (r *Response) ConnectedAt() time.Time { return r.conn.made }

// Finish ends a response whose body was read to its end and keeps the connection
// when it is clean.
func (r *Response) Finish() {
	if !r.stop() || r.message.Close || r.closeAfter || !r.wholeRequestWritten() || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.conn.idleLimit = keepAliveTimeout(r.Header)
	r.pool.put(r.conn)
}

func (r *Response) wholeRequestWritten() bool {
	if !r.writing {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// Abort ends a response and closes its connection, which frees the peer.
func (r *Response) Abort() {
	r.stop()
	r.conn.close()
}

// keepAliveTimeout returns for how long the peer keeps an idle connection, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
