package server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
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

// closeLine asks a node to close the connection after its response.
const closeLine = "Connection: close\r\n"

// rawGet sends a request with further header lines and returns the response as it came, and how the
// connection ended.
func rawGet(t *testing.T, s *testSite, n *testNode, path, header string) (response string, err error) {
	t.Helper()
	return rawGetAfter(t, s, n, path, header, 1500*time.Millisecond, 0)
}

// rawGetAfter is rawGet with the client's deadline and a pause before it reads.
func rawGetAfter(t *testing.T, s *testSite, n *testNode, path, header string, deadline, pause time.Duration) (response string, err error) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", net.JoinHostPort(n.ip, fmt.Sprint(platformtest.FrontPort)))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: site.example\r\nX-Mangoledge-Attempt-Id: raw-%d\r\nX-Mangoledge-Deadline-Ms: %d\r\n"+
		"X-Mangoledge-Model: m\r\nX-Mangoledge-Token-Usage: 100,20\r\nX-Mangoledge-Prefix-Hash: aa:50,bb:50\r\nAuthorization: Bearer %s\r\n%s\r\n",
		path, s.attempts.Add(1), deadline.Milliseconds(), platformtest.WorkspaceKey, header)
	require.NoError(t, err)
	time.Sleep(pause)
	data, err := io.ReadAll(conn)
	return string(data), err
}

// TestAnswerWithoutFramingIsNotFramedAsComplete guards against answers that end with their
// connection, perhaps early, and reach the client with a length or a last chunk.
func TestAnswerWithoutFramingIsNotFramedAsComplete(t *testing.T) {
	const event = "id: 1\ndata: token 1\n\n"
	for name, c := range map[string]struct {
		service, path, body string
	}{
		"stream":       {"engine", "/stream/x", event},
		"empty stream": {"engine", "/stream/x", ""},
		"resumable":    {"engine", "/resume/x", event},
		"short answer": {"plain", "/again/x", "short"},
		"empty answer": {"plain", "/once/x", ""},
		"long answer":  {"plain", "/once/x", strings.Repeat("x", 100_000)},
	} {
		for _, ending := range []string{"closed", "reset"} {
			t.Run(name+" "+ending, func(t *testing.T) {
				s, n, _ := newRawSite(t, c.service, func(conn net.Conn, attempt string) {
					_, _ = fmt.Fprint(conn, platformtest.SignedHeader("200 OK", attempt)+"\r\n"+c.body)
					time.Sleep(100 * time.Millisecond) // so that the bytes arrive before a reset discards them
					if ending == "reset" {
						resetConn(conn)
					}
					_ = conn.Close()
				})
				header := ""
				if ending == "reset" {
					header = closeLine
				}
				got, err := rawGet(t, s, n, c.path, header)
				if ending == "reset" {
					require.False(t, err == nil && strings.HasPrefix(got, "HTTP/1.1 200"), "a response that was reset looks complete: %.200s", got)
					return
				}
				require.NoError(t, err)
				head, body, _ := strings.Cut(got, "\r\n\r\n")
				require.Contains(t, head, "HTTP/1.1 200")
				require.Contains(t, head, "Connection: close")
				require.NotContains(t, head, "Content-Length")
				require.NotContains(t, head, "Transfer-Encoding")
				require.Equal(t, c.body, body)
			})
		}
	}
}

// TestEndOfTheProcessResetsAnAnswerWithoutFraming guards against answers that look complete when
// the node ends in the middle of them.
func TestEndOfTheProcessResetsAnAnswerWithoutFraming(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	s, n, _ := newRawSite(t, "engine", func(conn net.Conn, attempt string) {
		_, _ = fmt.Fprint(conn, platformtest.SignedHeader("200 OK", attempt)+"\r\nid: 1\ndata: token 1\n\n")
		<-ended
	})
	time.AfterFunc(300*time.Millisecond, n.close)
	got, err := rawGet(t, s, n, "/stream/x", "")
	require.Contains(t, got, "token 1")
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestResumedStreamWithoutFramingIsNotEndedAsComplete guards against the last chunk after a part of a
// stream that ended with its connection.
func TestResumedStreamWithoutFramingIsNotEndedAsComplete(t *testing.T) {
	var sends atomic.Int64
	respond := func(conn net.Conn, attempt string) {
		head := platformtest.SignedHeader("200 OK", attempt)
		if sends.Add(1) == 1 {
			_, _ = fmt.Fprint(conn, head+"Transfer-Encoding: chunked\r\n\r\n15\r\nid: 1\ndata: token 1\n\n\r\n")
		} else {
			_, _ = fmt.Fprint(conn, head+"\r\nid: 2\ndata: token 2\n\n")
		}
		_ = conn.Close()
	}
	s, n, _ := newRawSite(t, "engine", respond)
	s.store.Put("servers", "i-2", platformtest.NewRawReplica(t, "i-2", respond).Entry("engine"))
	s.addReplica("i-p", "plain")
	s.waitReadyToRetry(n)
	got, _ := rawGet(t, s, n, "/resume/x", closeLine)
	require.Equal(t, int64(2), sends.Load())
	require.Contains(t, got, "token 1")
	require.Contains(t, got, "token 2")
	require.False(t, strings.HasSuffix(got, "0\r\n\r\n"), "%q", got)
}

// TestAnswerWhoseHeadBreaksOffIsNoAnswer guards against a success with an empty or short body after a
// replica stopped in the middle of its answer's head.
func TestAnswerWhoseHeadBreaksOffIsNoAnswer(t *testing.T) {
	whole := platformtest.SignedHeader("200 OK", "raw-0") + "Content-Length: 5\r\n\r\n"
	for _, service := range []string{"plain", "engine"} {
		t.Run(service, func(t *testing.T) {
			var cut atomic.Int64
			s, n, _ := newRawSite(t, service, func(conn net.Conn, attempt string) {
				_, _ = io.WriteString(conn, strings.ReplaceAll(whole, "raw-0", attempt)[:cut.Load()])
				_ = conn.Close()
			})
			path := map[string]string{"plain": "/once/x", "engine": "/stream/x"}[service]
			for at := range len(whole) {
				cut.Store(int64(at))
				got, _ := rawGet(t, s, n, path, closeLine)
				require.NotContains(t, got, "HTTP/1.1 200", "a head of %d bytes", at)
			}
		})
	}
}

// TestLongAnswerThatBeginsLateIsDelivered guards against answers that are thrown away after the
// time in which another replica would have been asked, though there is none.
func TestLongAnswerThatBeginsLateIsDelivered(t *testing.T) {
	const size = 100_000
	s, n, _ := newRawSite(t, "plain", func(conn net.Conn, attempt string) {
		time.Sleep(time.Second)
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", platformtest.SignedHeader("200 OK", attempt), size, strings.Repeat("x", size))
	})
	got := s.send(n, request{path: "/again/x", body: "b"})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, got.body, size)
}
