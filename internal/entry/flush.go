package entry

import "net/http"

// flushWrites wraps next so that each write to its response is flushed.
func flushWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&flushWriter{ResponseWriter: w, controller: http.NewResponseController(w)}, r)
	})
}

// flushWriter flushes each write. It deliberately hides io.ReaderFrom, so that no data
// bypasses Write.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write writes p and flushes it.
func (f *flushWriter) Write(p []byte) (int, error) {
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
