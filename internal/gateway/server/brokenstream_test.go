package server_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// newRawSite starts a node with one raw replica of a service.
func newRawSite(t *testing.T, service string, respond func(conn net.Conn, attempt string)) (*testSite, *testNode, *platformtest.RawReplica) {
	t.Helper()
	s := newTestSite(t)
	replica := platformtest.NewRawReplica(t, "i-1", respond)
	s.store.Put("servers", "i-1", replica.Entry(service))
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams[service] == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
	return s, n, replica
}

func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const whole, part = "id: 1\ndata: token 1\n\n", "id: 2\ndata: to"
	for name, c := range map[string]struct {
		head, body string
		complete   bool
	}{
		"without length, inside an event": {"", whole + part, false},
		"without length, after a line":    {"", whole + part + "\n", false},
		"without length, between events":  {"", whole + whole, true},
		"with length, inside an event":    {fmt.Sprintf("Content-Length: %d\r\n", len(whole+part)), whole + part, false},
		"chunked, inside an event":        {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(whole+part), whole+part), false},
		"chunked, between events":         {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(whole), whole), true},
	} {
		t.Run(name, func(t *testing.T) {
			s, n, _ := newRawSite(t, "engine", func(conn net.Conn, attempt string) {
				_, _ = fmt.Fprint(conn, platformtest.SignedHeader("200 OK", attempt)+"Content-Type: text/event-stream\r\n"+c.head+"\r\n"+c.body)
				_ = conn.Close()
			})
			got := s.send(n, request{path: "/stream/x", body: "prompt"})
			require.Equal(t, http.StatusOK, got.status)
			require.NotContains(t, got.body, "id: 2", "no part of the broken event is forwarded")
			if c.complete {
				require.NoError(t, got.err)
				return
			}
			require.Error(t, got.err)
			require.Equal(t, whole, got.body)
		})
	}
}

// resetConn ends a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func TestAnswerWithoutLengthIsCompleteOnlyIfItsConnectionWasNotReset(t *testing.T) {
	for _, size := range []int{100, 100_000} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(size, reset), func(t *testing.T) {
				s, n, _ := newRawSite(t, "plain", func(conn net.Conn, attempt string) {
					_, _ = fmt.Fprint(conn, platformtest.SignedHeader("200 OK", attempt)+"\r\n"+strings.Repeat("x", size))
					time.Sleep(100 * time.Millisecond) // so that the bytes arrive before a reset discards them
					if reset {
						resetConn(conn)
					}
					_ = conn.Close()
				})
				got := s.send(n, request{path: "/once/x", body: "b"})
				if !reset {
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
					require.Len(t, got.body, size)
					return
				}
				require.False(t, got.err == nil && got.status == http.StatusOK, "a response that was reset looks complete")
			})
		}
	}
}
