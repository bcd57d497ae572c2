package plainservice

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/verdict"
)

// TestReplyReadAfterItsServiceWasReplacedIsNotReturned guards against a later process at the address of a service
// that ended while its reply waited for memory, and that is taken for the one that wrote the reply.
func TestReplyReadAfterItsServiceWasReplacedIsNotReturned(t *testing.T) {
	const anyLength = 1 << 30
	answers := ingress.NewAnswerMemory(64, func() {})
	release, err := answers.Reserve(t.Context(), anyLength) // all of it
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*ingress.ShortAnswer))
		_ = server.Listener.Close()
		_ = conn.Close()
	})
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	time.AfterFunc(1200*time.Millisecond, func() {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", address)
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
		}
		release()
	})
	reply, err := NewClient(answers, nil).Call(t.Context(), server.URL, "r", "p", false)
	require.Equal(t, verdict.Ran, verdict.From(err).Verdict, "%d bytes", len(reply.Text))
	require.Empty(t, reply.Text)
}
