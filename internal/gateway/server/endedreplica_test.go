package server_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const oneEvent = "id: 1\ndata: token 1\n\n"

// unframedAnswer is an answer with neither a length nor chunks, and how its replica goes on.
type unframedAnswer struct {
	service, header, body string
	end                   func(*platformtest.RawReplica, net.Conn)
}

// startUnframed starts a node with a replica that gives the answer to each request.
func startUnframed(t *testing.T, a unframedAnswer) (*testSite, *testNode) {
	t.Helper()
	var replica atomic.Pointer[platformtest.RawReplica]
	s, n, r := newRawSite(t, a.service, func(conn net.Conn, attempt string) {
		_, _ = io.WriteString(conn, platformtest.SignedHeader("200 OK", attempt)+a.header+"\r\n"+a.body)
		time.Sleep(100 * time.Millisecond) // the answer arrives before its end
		a.end(replica.Load(), conn)
	})
	replica.Store(r)
	return s, n
}

func endProcess(r *platformtest.RawReplica, _ net.Conn) { r.End() }

// TestUnframedAnswerOfAReplicaThatEndedDoesNotLookComplete guards against answers that were cut off by
// the end of their replica's process and reach the client like whole ones.
func TestUnframedAnswerOfAReplicaThatEndedDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct{ service, path, body string }{
		"stream":          {"engine", "/stream/x", oneEvent},
		"empty stream":    {"engine", "/stream/x", ""},
		"short answer":    {"plain", "/once/x", "short"},
		"repeated answer": {"plain", "/again/x", "short"},
		"empty answer":    {"plain", "/once/x", ""},
		"long answer":     {"plain", "/once/x", strings.Repeat("x", 90_000)},
	} {
		t.Run(name, func(t *testing.T) {
			s, n := startUnframed(t, unframedAnswer{service: c.service, body: c.body, end: endProcess})
			got, err := rawGet(t, s, n, c.path, closeLine)
			require.False(t, err == nil && strings.HasPrefix(got, "HTTP/1.1 200"), "looks complete: %.200s", got)
		})
	}
}

// TestUnframedAnswerOfAReplicaThatStartedAgainDoesNotLookComplete guards against taking a replica that
// answers again at the same address for one that outlived its answer.
func TestUnframedAnswerOfAReplicaThatStartedAgainDoesNotLookComplete(t *testing.T) {
	s, n := startUnframed(t, unframedAnswer{service: "engine", body: oneEvent, end: func(r *platformtest.RawReplica, _ net.Conn) {
		r.End()
		time.Sleep(300 * time.Millisecond)
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", r.Address())
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
		}
	}})
	got, err := rawGet(t, s, n, "/stream/x", closeLine)
	require.Contains(t, got, "token 1")
	require.Error(t, err, "looks complete")
}

// TestUnframedAnswerOfAReplicaThatEndedBehindAProxyDoesNotLookComplete guards against taking a proxy that
// accepts connections and closes them for a replica at its connection limit.
func TestUnframedAnswerOfAReplicaThatEndedBehindAProxyDoesNotLookComplete(t *testing.T) {
	s, n := startUnframed(t, unframedAnswer{service: "engine", body: oneEvent, end: func(r *platformtest.RawReplica, _ net.Conn) { r.EndBehindProxy() }})
	got, err := rawGet(t, s, n, "/stream/x", closeLine)
	require.Contains(t, got, "token 1")
	require.Error(t, err, "looks complete")
}

// TestUnframedAnswerOfAReclaimedReplicaDoesNotLookComplete guards against taking the end of a replica that
// is reclaimed, whatever it does, for one in good order.
func TestUnframedAnswerOfAReclaimedReplicaDoesNotLookComplete(t *testing.T) {
	var s *testSite
	s, n := startUnframed(t, unframedAnswer{service: "engine", body: oneEvent, end: func(r *platformtest.RawReplica, _ net.Conn) {
		entry := r.Entry("engine")
		entry["state"], entry["leaves_ms"], entry["seq"] = "draining", 500, 2
		s.store.Put("servers", "i-1", entry)
		time.Sleep(500 * time.Millisecond)
		r.End()
	}})
	got, err := rawGet(t, s, n, "/stream/x", closeLine)
	require.Contains(t, got, "token 1")
	require.Error(t, err, "looks complete")
}

// TestUnframedStreamIsResumedAfterItsReplicaEnded guards against streams that stop where they could
// have gone on at another replica.
func TestUnframedStreamIsResumedAfterItsReplicaEnded(t *testing.T) {
	replicas := make(map[string]*platformtest.RawReplica)
	var sends atomic.Int64
	respond := func(id string) func(net.Conn, string) {
		return func(conn net.Conn, attempt string) {
			head := platformtest.SignedHeader("200 OK", attempt)
			if sends.Add(1) == 1 {
				_, _ = io.WriteString(conn, head+"\r\n"+oneEvent)
				time.Sleep(100 * time.Millisecond)
				replicas[id].End()
				return
			}
			second := strings.ReplaceAll(oneEvent, "1", "2")
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(second), second)
		}
	}
	s := newTestSite(t)
	for _, id := range []string{"i-1", "i-2"} {
		replicas[id] = platformtest.NewRawReplica(t, id, respond(id))
		s.store.Put("servers", id, replicas[id].Entry("engine"))
	}
	s.putConfig(1, nil)
	s.addReplica("i-p", "plain")
	n := s.startNode(1, "a", nil)
	s.waitReadyToRetry(n)
	got, err := rawGet(t, s, n, "/resume/x", closeLine)
	require.Equal(t, int64(2), sends.Load())
	require.NoError(t, err)
	_, metrics := s.getInternal(n, platformtest.MetricsPort, "/metrics")
	require.Regexp(t, `mangoledge_gateway_resumed_total\{[^}]*\} 1\n`, metrics)
	require.Regexp(t, `mangoledge_gateway_answer_ends_total\{[^}]*framing="connection"[^}]*\} 1\n`, metrics)
	require.True(t, strings.HasSuffix(got, oneEvent+strings.ReplaceAll(oneEvent, "1", "2")), "%q", got)
}

// TestUnframedAnswerOfALivingReplicaIsDelivered guards against whole answers that are broken off because
// their replica takes no new connections, though it lives.
func TestUnframedAnswerOfALivingReplicaIsDelivered(t *testing.T) {
	closeConn := func(_ *platformtest.RawReplica, conn net.Conn) { _ = conn.Close() }
	atLimit := func(r *platformtest.RawReplica, conn net.Conn) { r.ResetNewConns(); _ = conn.Close() }
	for _, c := range []struct{ name, service, path, body string }{
		{"stream", "engine", "/stream/x", oneEvent + oneEvent},
		{"short answer", "plain", "/once/x", "short"},
		{"long answer", "plain", "/once/x", strings.Repeat("x", 90_000)},
	} {
		for name, a := range map[string]unframedAnswer{
			"lives on":                {end: closeConn},
			"at its connection limit": {end: atLimit},
		} {
			t.Run(c.name+" "+name, func(t *testing.T) {
				a.service, a.body = c.service, c.body
				s, n := startUnframed(t, a)
				got, err := rawGet(t, s, n, c.path, closeLine)
				require.NoError(t, err)
				_, body, _ := strings.Cut(got, "\r\n\r\n")
				require.Equal(t, c.body, body)
			})
		}
	}
}
