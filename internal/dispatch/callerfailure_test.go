package dispatch_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/verdict"
)

// addFailingEngine starts an engine that sends one token of each stream, then calls
// fail, and answers each attach with status.
func (s *fakeSite) addFailingEngine(fail func(r *http.Request), status int) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/{id}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"offset\":0,\"text\":\"a\"}\n\n")
		_ = http.NewResponseController(w).Flush()
		fail(r)
	})
	server := httptest.NewServer(mux)
	s.t.Cleanup(func() { kill(server); server.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, fleet.Upstream{ID: "half", URL: server.URL, State: fleet.StateReady})
}

// The stream of a non-idempotent model request, which must not be retried, breaks in each
// way that has an internal code. The caller gets CodeUpstreamFailed instead of that code.
func TestBrokenStreamIsUpstreamFailedForCaller(t *testing.T) {
	for _, c := range []struct {
		name   string
		fail   func(r *http.Request)
		status int
	}{
		{"the engine no longer knows the stream", func(*http.Request) { panic(http.ErrAbortHandler) }, http.StatusNotFound},
		{"the engine stops sending", func(r *http.Request) { <-r.Context().Done() }, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			site := newFakeSite(t)
			home, wit := site.addNode("home"), site.addNode("wit")
			site.addFailingEngine(c.fail, c.status)
			s := spec(home, wit, longStream)
			s.Idempotent = false
			a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
			require.NoError(t, err)
			var got received
			got.follow(t, a, 0)
			require.Equal(t, dispatch.EventError, got.last.Kind)
			require.Equal(t, verdict.CodeUpstreamFailed, got.last.Failure.Code)
			require.Equal(t, verdict.MayHaveRun, got.last.Failure.Verdict)
			record, err := home.dispatcher.Fetch(t.Context(), s.ID, "w")
			require.NoError(t, err)
			require.Equal(t, verdict.CodeUpstreamFailed, record.Failure.Code, "the fetched record has the same code")
		})
	}
}
