package exchange

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// clientWriter writes the response to the client.
type clientWriter struct {
	w http.ResponseWriter
	// conn is the client's connection; nil if not known.
	conn *net.TCPConn
	// headerWritten is true once the status line and headers were written.
	headerWritten bool
	// unframed is true if the response has neither a length nor chunks and ends with the connection.
	unframed bool
}

// connKey is the key of the client's connection in a request's context.
type connKey struct{}

// ConnContext makes the connection of a request known to the Handler. It is the ConnContext hook of
// the http.Server that serves it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// newClientWriter returns a writer of the response to r.
func newClientWriter(w http.ResponseWriter, r *http.Request) *clientWriter {
	conn, _ := r.Context().Value(connKey{}).(*net.TCPConn)
	return &clientWriter{w: w, conn: conn}
}

// takeFraming prepares the response, before its header, for the framing of the upstream's. An unframed
// one ends with its connection as well: a length or a last chunk would claim that it is complete. It
// fails if that connection can't be reset when the response is broken off.
func (c *clientWriter) takeFraming(unframed bool) error {
	if c.headerWritten || !unframed {
		return nil
	}
	if err := c.resetOnClose(); err != nil {
		return errors.Wrap(err, "an answer without framing can't be passed on")
	}
	c.unframed = true
	c.w.Header().Set("Transfer-Encoding", "identity") // http.Server sends neither chunks nor this header
	return nil
}

// writeHeader writes the status line and headers, once.
func (c *clientWriter) writeHeader(status int) {
	if c.headerWritten {
		return
	}
	c.headerWritten = true
	c.w.WriteHeader(status)
}

// resetOnClose makes the end of the client's connection, or of this process, reset it.
func (c *clientWriter) resetOnClose() error {
	if c.conn == nil {
		return errors.New("the client's connection is not known")
	}
	return c.conn.SetLinger(0)
}

func (c *clientWriter) write(data []byte) error {
	_, err := c.w.Write(data)
	return err
}

func (c *clientWriter) flush() error {
	return http.NewResponseController(c.w).Flush()
}

// finish ends a response. From the header of an unframed one to here, the end of its connection, or
// of this process, resets it.
func (c *clientWriter) finish() error {
	if !c.unframed {
		return nil
	}
	if err := c.flush(); err != nil {
		return err
	}
	return c.conn.SetLinger(-1)
}
