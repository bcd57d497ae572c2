package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/wait"
)

// withFaults returns handler, which serves one verb of a service, with its calls counted
// and faults applied.
func (s *Server) withFaults(service Service, verb string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counts.add(service, verb)
		if !bufferBody(w, r) {
			return
		}
		if fault, ok := s.faults.take(service, verb, FaultSlow); ok {
			wait.For(r.Context(), time.Duration(fault.DelayMs)*time.Millisecond)
		}
		if _, ok := s.faults.take(service, verb, FaultHang); ok {
			<-r.Context().Done()
			return
		}
		if _, ok := s.faults.take(service, verb, FaultOutage); ok {
			writeStatus(w, http.StatusServiceUnavailable, "ServiceUnavailable", "outage on command")
			return
		}
		if _, ok := s.faults.take(service, verb, FaultLostResponse); ok {
			handler(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	}
}

// bufferBody reads the complete body, because the server notices a disconnected client
// only after that. If the body is too large or cannot be read, it answers with the error
// and reports false.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeStatus(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", err.Error())
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

// Header returns a header that is not sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards data.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}

// writeJSON answers with a status code and value as JSON.
func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

// writeStatus answers with an error as the platform's services do.
func writeStatus(w http.ResponseWriter, code int, reason, message string) {
	writeJSON(w, code, objects.Status{Code: code, Reason: reason, Message: message})
}
