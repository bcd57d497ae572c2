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

// service wraps a handler of one verb of a service with counting and faults.
func (s *Server) service(service Service, verb string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counts.add(service, verb)
		if !bufferBody(w, r) {
			return
		}
		if fault, ok := s.faults.strike(service, verb, FaultSlow); ok {
			wait.For(r.Context(), time.Duration(fault.DelayMs)*time.Millisecond)
		}
		if _, ok := s.faults.strike(service, verb, FaultHang); ok {
			<-r.Context().Done()
			return
		}
		if _, ok := s.faults.strike(service, verb, FaultOutage); ok {
			writeStatus(w, http.StatusServiceUnavailable, "ServiceUnavailable", "outage on command")
			return
		}
		if _, ok := s.faults.strike(service, verb, FaultLostAnswer); ok {
			handler(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	}
}

// bufferBody reads the whole body, without which the server does not notice that
// a client has gone; it reports whether it could.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeStatus(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", err.Error())
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{ header http.Header }

// Header returns a header that nobody reads.
func (d discard) Header() http.Header { return d.header }

// Write loses data.
func (discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader loses the status.
func (discard) WriteHeader(int) {}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value) // the client may have gone
}

func writeStatus(w http.ResponseWriter, code int, reason, message string) {
	writeJSON(w, code, objects.Status{Code: code, Reason: reason, Message: message})
}
