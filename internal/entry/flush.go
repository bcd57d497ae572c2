package entry

import "net/http"

// flushing hands next a writer that flushes each write.
func flushing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&flushWriter{ResponseWriter: w, controller: http.NewResponseController(w)}, r)
	})
}

// flushWriter flushes each write. It hides io.ReaderFrom on purpose, so that
// nothing is copied past Write.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write writes and flushes p.
func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}

// Unwrap lets http.ResponseController find the writer below.
func (f *flushWriter) Unwrap() http.ResponseWriter {
	return f.ResponseWriter
}
