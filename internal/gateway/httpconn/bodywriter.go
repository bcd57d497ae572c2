package httpconn

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// writeEndTimeout limits how long the end of a response waits for the goroutine that writes the request
// body: it may have written all and not been scheduled since.
const writeEndTimeout = 200 * time.Millisecond

// errBodyNotWritten means that a response ended with its connection before the request body was
// written.
var errBodyNotWritten = errors.New("the request body is not written yet")

// bodyWriter writes a long request body while the response may already arrive.
type bodyWriter struct {
	// done is closed when writing has ended.
	done chan struct{}
	// err is why the body was not written whole; valid once done is closed.
	err error
}

// startBodyWriter starts writing a body to c. Closing c ends it.
func startBodyWriter(c *net.TCPConn, writeBody func(io.Writer) error) *bodyWriter {
	w := &bodyWriter{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.err = writeBody(c)
	}()
	return w
}

// wroteAll reports whether the whole body was written. A nil bodyWriter has nothing to write.
func (w *bodyWriter) wroteAll() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// wait waits for the end of writing, for at most writeEndTimeout, and returns why the body was not
// written whole.
func (w *bodyWriter) wait() error {
	if w == nil {
		return nil
	}
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timer.C:
		return errBodyNotWritten
	}
}
