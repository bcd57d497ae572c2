package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ingress"
)

// flushWrites wraps next so that each write to its response is flushed.
func flushWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*ingress.Conn)
		next.ServeHTTP(&flushWriter{ResponseWriter: w, controller: http.NewResponseController(w), conn: conn}, r)
	})
}

// flushWriter flushes each write. It deliberately hides io.ReaderFrom, so that no data
// bypasses Write.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// conn is the connection; nil if no ingress.Listener has admitted it.
	conn *ingress.Conn
}

const (
	// callerWriteTimeout is how long a caller may take none of its response.
	callerWriteTimeout = 30 * time.Second
	// writePiece is the size of the pieces in which long responses are written, in bytes.
	writePiece = 32 << 10
)

// Write writes p and flushes it, in pieces. The caller has callerWriteTimeout to take each.
func (f *flushWriter) Write(p []byte) (int, error) {
	if len(p) > ingress.ShortAnswer {
		f.conn.SetLongAnswer(true)
		defer f.conn.SetLongAnswer(false)
	}
	written := 0
	for first := true; first || written < len(p); first = false {
		n, err := f.writePiece(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (f *flushWriter) writePiece(p []byte) (int, error) {
	// Without a connection there is no deadline, and nobody to wait for.
	if err := f.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := f.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (f *flushWriter) Unwrap() http.ResponseWriter {
	return f.ResponseWriter
}
