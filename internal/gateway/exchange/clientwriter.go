package exchange

import (
	"context"
	"net"
	"net/http"
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

// writeHeader writes the status line and headers, once. An unframed response ends with its
// connection, like that of the upstream: a length or a last chunk would claim that it is complete.
func (c *clientWriter) writeHeader(status int, unframed bool) {
	if c.headerWritten {
		return
	}
	c.headerWritten = true
	// Without the client's connection, a response that is broken off could not be told from a
	// complete one.
	c.unframed = unframed && c.conn != nil && c.conn.SetLinger(0) == nil
	if c.unframed {
		c.w.Header().Set("Transfer-Encoding", "identity") // http.Server sends neither chunks nor this header
	}
	c.w.WriteHeader(status)
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
