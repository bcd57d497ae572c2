package httpconn

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
)

// Response is a response whose body is still to be read. The caller ends it with exactly one of
// Finish, Discard and Abort.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	// Body returns io.EOF only if the response is complete, as far as its framing and the way in which
	// its connection ended tell.
	Body io.Reader
	// Framing is how the response tells where its body ends.
	Framing Framing

	pool         *Pool
	conn         *conn
	httpResponse *http.Response
	stopContext  func() bool
	// closeAfter is true if the connection must not be reused.
	closeAfter bool
	// endArrivedAt is when the end of an unframed response's connection arrived.
	endArrivedAt time.Time
	// bodyWriter sends a long request body; nil if the body was sent with the header.
	bodyWriter *bodyWriter
}

// write sends the request. A body over inlineBodyBytes is sent concurrently, because the
// response may arrive before the whole body is sent.
func (r *Response) write(req *Request) error {
	encoded := req.encode()
	if _, err := r.conn.tcp.Write(encoded.Bytes()); err != nil {
		return err
	}
	if req.bodySize() > inlineBodyBytes {
		r.bodyWriter = startBodyWriter(r.conn.tcp, req.writeBody)
	}
	return nil
}

// readHeader reads the header of the final response and skips interim (1xx) ones.
func (r *Response) readHeader(req *Request) error {
	request := &http.Request{Method: req.Method}
	r.conn.source.SetLimit(bounded.MaxHeadBytes) // shared by all interim responses
	defer r.conn.source.SetLimit(-1)
	for range maxInformational {
		message, err := http.ReadResponse(r.conn.reader, request) //nolint:bodyclose // Finish and Abort end the connection
		if err != nil {
			return err
		}
		if isInformational(message) {
			continue
		}
		if !isFinal(message) {
			return errors.Wrapf(errImpossibleStatus, "%q", message.Status)
		}
		r.httpResponse = message
		r.Status = message.StatusCode
		r.Header = message.Header
		r.ContentLength = message.ContentLength
		r.Body = message.Body
		r.Framing = framingOf(req.Method, message)
		if r.Unframed() {
			r.Body = &unframedBody{PromptReader: NewPromptReader(message.Body), response: r}
		}
		return nil
	}
	return errors.New("only interim (1xx) responses, no final one")
}

// Discard ends a response whose body is not needed. The connection is reused only if the rest
// of the body is short and arrives at once.
func (r *Response) Discard() {
	// An error is ignored here: the connection is closed below if its deadline can't be reset.
	_ = r.conn.tcp.SetReadDeadline(time.Now().Add(maxDiscardTime))
	_, err := bounded.ReadAll(r.Body, maxDiscardBytes)
	if err != nil || r.conn.tcp.SetReadDeadline(time.Time{}) != nil {
		r.Abort()
		return
	}
	r.Finish()
}

// CloseAfter marks the connection to be closed once the response is read.
func (r *Response) CloseAfter() { r.closeAfter = true }

// Unframed reports whether the response ends with its connection, complete or not.
func (r *Response) Unframed() bool { return r.Framing == FramedByConnection }

// OnNewConnection reports whether the response is to the first request of its connection, so that
// it can't be a repetition of an earlier response.
func (r *Response) OnNewConnection() bool { return r.conn.requests == 1 }

// ConnectedAt returns when the response's connection was established.
func (r *Response) ConnectedAt() time.Time { return r.conn.connectedAt }

// Finish ends a response whose body was read to its end. The connection returns to the pool if
// it can be reused.
func (r *Response) Finish() {
	if !r.stopContext() || r.httpResponse.Close || r.closeAfter || !r.bodyWriter.wroteAll() || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.conn.idleLimit = keepAliveTimeout(r.Header)
	r.pool.release(r.conn)
}

// Abort ends a response and closes its connection, which tells the peer to stop working on it.
func (r *Response) Abort() {
	r.stopContext()
	r.conn.close()
}

// keepAliveTimeout returns how long the peer keeps an idle connection according to its
// Keep-Alive header, or 0.
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
