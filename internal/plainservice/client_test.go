package plainservice

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

// A reply above the limit fails as a whole; its beginning is not returned.
func TestReplyAboveLimitIsNotReturnedInPart(t *testing.T) {
	for size, accepted := range map[int]bool{maxReplyBytes: true, maxReplyBytes + 1: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
		reply, err := NewClient(nil, nil).Call(t.Context(), server.URL, "r", "p", false)
		server.Close()
		if accepted {
			require.NoError(t, err)
			require.Len(t, reply.Text, size)
			continue
		}
		require.Equal(t, verdict.Ran, verdict.From(err).Verdict)
		require.Empty(t, reply.Text)
	}
}

// TestReplyCutOffByTheEndOfItsServiceIsNotReturned guards against replies without a length or chunks
// that end with the service's process and are returned as whole.
func TestReplyCutOffByTheEndOfItsServiceIsNotReturned(t *testing.T) {
	for _, ended := range []bool{false, true} {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nreply")
			if ended {
				_ = server.Listener.Close()
			}
			_ = conn.Close()
		}))
		t.Cleanup(server.Close)
		reply, err := NewClient(nil, nil).Call(t.Context(), server.URL, "r", "p", false)
		if !ended {
			require.NoError(t, err)
			require.Equal(t, "reply", reply.Text)
			continue
		}
		require.Equal(t, verdict.Ran, verdict.From(err).Verdict)
		require.Empty(t, reply.Text)
	}
}
