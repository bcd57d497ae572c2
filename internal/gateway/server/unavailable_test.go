package server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// leavingResponseHead is the response head of a replica that announces that it leaves.
func leavingResponseHead(status, attempt string) string {
	return platformtest.SignedHeader(status, attempt) + "Server-Leaving: 1\r\n"
}

func TestUpstreamAnnouncingLeaveGetsNoMoreRequests(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		path    string
		respond func(conn net.Conn, attempt string)
	}{
		"success": {"/once/x", func(conn net.Conn, a string) {
			_, _ = io.WriteString(conn, leavingResponseHead("200 OK", a)+"Content-Length: 1\r\n\r\nx")
		}},
		"failure": {"/once/x", func(conn net.Conn, a string) {
			_, _ = io.WriteString(conn, leavingResponseHead("500 Internal Server Error", a)+"Content-Length: 1\r\n\r\nx")
		}},
		"rejection": {"/once/x", func(conn net.Conn, a string) {
			_, _ = io.WriteString(conn, leavingResponseHead("503 Service Unavailable", a)+"X-Mangoledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}},
		"wrong upstream": {"/once/x", func(conn net.Conn, a string) {
			_, _ = io.WriteString(conn, leavingResponseHead("421 Misdirected Request", a)+"Content-Length: 0\r\n\r\n")
		}},
		"truncated body": {"/once/x", func(conn net.Conn, a string) {
			_, _ = io.WriteString(conn, leavingResponseHead("200 OK", a)+"Content-Length: 9\r\n\r\nx")
			_ = conn.Close()
		}},
		"stream head": {"/stream/x", func(conn net.Conn, a string) {
			_, _ = io.WriteString(conn, leavingResponseHead("200 OK", a)+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"+event)
			_ = conn.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t)
			service := "plain"
			if c.path == "/stream/x" {
				service = "engine"
			}
			leaving := platformtest.NewRawReplica(t, "i-1", c.respond)
			s.store.Put("servers", "i-1", leaving.Entry(service))
			s.putConfig(1, nil)
			n := s.startNode(1, "a", nil)
			require.Eventually(t, func() bool { return s.stateOf(n).Upstreams[service] == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
			s.send(n, request{path: c.path, body: "first"})
			for range 3 {
				got := s.send(n, request{path: c.path, body: "b"})
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
			require.EqualValues(t, 1, leaving.Requests())
			require.Eventually(t, func() bool { return leaving.ClosedConns() == 1 }, waitTimeout, 10*time.Millisecond, "connections to the leaving upstream are closed")
			renewed := leaving.Entry(service)
			renewed["born"] = 1_700_000_000_001
			s.store.Put("servers", "i-1", renewed)
			require.Eventually(t, func() bool {
				s.send(n, request{path: c.path, body: "b"})
				return leaving.Requests() > 1
			}, waitTimeout, 50*time.Millisecond, "the restarted upstream gets requests again")
		})
	}
}

func TestStreamFinishesOnLeavingUpstream(t *testing.T) {
	s, n, engine := newEngineSite(t, 20, 20*time.Millisecond)
	engine.AnnounceLeaving()
	got := s.send(n, request{path: "/stream/x", body: "prompt"})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Contains(t, got.body, "id: 20\n")
	require.Equal(t, http.StatusServiceUnavailable, s.send(n, request{path: "/stream/x", body: "prompt"}).status)
}

func TestRetryAfterCoversQuietPeriod(t *testing.T) {
	s := newTestSite(t)
	one, two := s.addReplica("i-1", "plain"), s.addReplica("i-2", "plain")
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	const quiet = 3 * time.Second
	one.RejectFor(quiet)
	two.RejectFor(quiet)
	quietSince := time.Now()
	retryAfters := make(map[string]bool)
	require.Eventually(t, func() bool {
		got := s.send(n, request{path: "/once/x", body: "b"})
		return got.body == "upstreams_want_quiet\n"
	}, waitTimeout, 10*time.Millisecond)
	for range 5 {
		got := s.send(n, request{path: "/once/x", body: "b"})
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Duration(after*float64(time.Second)), quiet-time.Since(quietSince))
		retryAfters[got.header.Get("Retry-After")] = true
	}
	require.Greater(t, len(retryAfters), 1, "Retry-After values are spread")
	require.LessOrEqual(t, len(one.Notices()), 1)
	require.LessOrEqual(t, len(two.Notices()), 1)
	require.Eventually(t, func() bool { return s.send(n, request{path: "/once/x", body: "b"}).status == http.StatusOK }, waitTimeout, 50*time.Millisecond)
}

func TestQuietUpstreamGetsNoFurtherRequests(t *testing.T) {
	s := newTestSite(t)
	release := make(chan struct{})
	replica := platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
		<-release
		_, _ = fmt.Fprint(conn, platformtest.SignedHeader("503 Service Unavailable", attempt)+"X-Mangoledge-Not-Executed: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
	})
	s.store.Put("servers", "i-1", replica.Entry("plain"))
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["plain"] == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
	responses := make(chan clientResponse, 10)
	for range 5 {
		go func() { responses <- s.send(n, request{path: "/once/x", body: "b"}) }()
	}
	require.Eventually(t, func() bool { return replica.Requests() == 5 }, waitTimeout, 5*time.Millisecond)
	close(release)
	for range 5 {
		require.Equal(t, http.StatusServiceUnavailable, (<-responses).status)
	}
	for range 5 {
		require.Equal(t, http.StatusServiceUnavailable, s.send(n, request{path: "/once/x", body: "b"}).status)
	}
	require.EqualValues(t, 5, replica.Requests())
}

func TestSilentUpstreamIsNotAbandonedForQuietOne(t *testing.T) {
	s := newTestSite(t)
	quiet := s.addReplica("i-2", "plain")
	s.putConfig(1, func(c map[string]any) {
		for _, route := range c["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = 20_000
		}
	})
	n := s.startNode(1, "a", nil)
	s.waitReadyToRetry(n)
	quiet.RejectFor(time.Minute)
	again := request{method: http.MethodGet, path: "/again/x", deadline: 20 * time.Second}
	require.Eventually(t, func() bool { s.send(n, again); return len(quiet.Notices()) > 0 }, waitTimeout, 10*time.Millisecond)
	slow := s.addReplica("i-1", "plain")
	require.Eventually(t, func() bool { return s.send(n, again).status == http.StatusOK }, waitTimeout, 20*time.Millisecond)
	const pause = 600 * time.Millisecond // over twice the time after which a silent upstream is abandoned
	slow.SetResponseDelay(pause)
	got := s.send(n, again)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer of i-1\n", got.body)
}
