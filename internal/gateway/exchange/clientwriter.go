package exchange

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ingress"
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
	// limitedAt is when the time for the next write was last limited.
	limitedAt time.Time
}

const (
	// clientWriteTimeout is how long a client may take none of its response.
	clientWriteTimeout = 30 * time.Second
	// clientWriteRenewal is how often that time begins anew while the client takes the response.
	clientWriteRenewal = time.Second
)

// limitWrites limits the time in which a client takes the next part of its response. It fails only for a
// connection without deadlines, which are then not limited.
func limitWrites(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(clientWriteTimeout))
}

// renewWriteLimit lets the time for the next write begin anew.
func (c *clientWriter) renewWriteLimit() {
	if now := time.Now(); now.Sub(c.limitedAt) > clientWriteRenewal {
		c.limitedAt = now
		limitWrites(c.w)
	}
}

// connKey is the key of the client's connection in a request's context.
type connKey struct{}

// ConnContext makes the connection of a request known to the Handler. It is the ConnContext hook of
// the http.Server that serves it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// admittedConn returns the connection of a request, or nil if no ingress.Listener has admitted it.
func admittedConn(r *http.Request) *ingress.Conn {
	c, _ := r.Context().Value(connKey{}).(*ingress.Conn)
	return c
}

// newClientWriter returns a writer of the response to r.
func newClientWriter(w http.ResponseWriter, r *http.Request) *clientWriter {
	conn, _ := r.Context().Value(connKey{}).(*net.TCPConn)
	if admitted := admittedConn(r); admitted != nil {
		conn = admitted.TCPConn
	}
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
	c.renewWriteLimit()
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
	c.renewWriteLimit()
	_, err := c.w.Write(data)
	return err
}

func (c *clientWriter) flush() error {
	c.renewWriteLimit()
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
