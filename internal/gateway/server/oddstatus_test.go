package server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// oddStatuses are the status lines of answers that are none.
var oddStatuses = []string{"000 None", "000", "001 One", "099 Low", "+99 Sign", "101 Switching Protocols", "600 High", "999 Highest"}

// writeOdd writes an answer with the status line.
func writeOdd(conn net.Conn, status, attempt string) {
	_, _ = io.WriteString(conn, platformtest.SignedHeader(status, attempt)+"Content-Length: 3\r\n\r\nodd")
}

// TestImpossibleStatusIsAnAnswerLost guards against passing a status on that is none, and against a
// handler that ends without an answer because of it.
func TestImpossibleStatusIsAnAnswerLost(t *testing.T) {
	for service, paths := range map[string][]string{"plain": {"/once/x", "/again/x"}, "engine": {"/stream/x", "/resume/x"}} {
		var status atomic.Value
		s, n, replica := newRawSite(t, service, func(conn net.Conn, attempt string) { writeOdd(conn, status.Load().(string), attempt) })
		for _, odd := range oddStatuses {
			for _, path := range paths {
				t.Run(odd+" "+path, func(t *testing.T) {
					status.Store(odd)
					before := replica.Requests()
					got := s.send(n, request{path: path, body: "b"})
					require.NoError(t, got.err)
					require.Equal(t, http.StatusBadGateway, got.status)
					require.Greater(t, replica.Requests(), before)
				})
			}
		}
	}
}

// newOddPair starts a node with two replicas. Whichever is sent a request first answers with first, and
// the other with next.
func newOddPair(t *testing.T, service string, first, next func(conn net.Conn, attempt string)) (*testSite, *testNode, *atomic.Int64) {
	t.Helper()
	sends := new(atomic.Int64)
	respond := func(conn net.Conn, attempt string) {
		if sends.Add(1) == 1 {
			first(conn, attempt)
			return
		}
		next(conn, attempt)
	}
	s, n, _ := newRawSite(t, service, respond)
	s.store.Put("servers", "i-2", platformtest.NewRawReplica(t, "i-2", respond).Entry(service))
	require.Eventually(t, func() bool {
		return s.stateOf(n).Upstreams[service] == 2 && s.stateOf(n).NodesSharingRepeats > 0
	}, waitTimeout, 20*time.Millisecond)
	return s, n, sends
}

// TestRequestIsRepeatedAfterAnImpossibleStatus guards against giving up on a request that another replica
// can answer.
func TestRequestIsRepeatedAfterAnImpossibleStatus(t *testing.T) {
	var status atomic.Value
	s, n, sends := newOddPair(t, "plain",
		func(conn net.Conn, attempt string) { writeOdd(conn, status.Load().(string), attempt) },
		func(conn net.Conn, attempt string) { writeOdd(conn, "200 OK", attempt) })
	for _, odd := range oddStatuses {
		t.Run(odd, func(t *testing.T) {
			status.Store(odd)
			sends.Store(0)
			got := s.send(n, request{method: http.MethodGet, path: "/again/x"})
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.EqualValues(t, 2, sends.Load())
		})
	}
}

// TestImpossibleStatusIsNoPartOfAStreamThatBegan guards against the same where a stream goes on.
func TestImpossibleStatusIsNoPartOfAStreamThatBegan(t *testing.T) {
	var status atomic.Value
	s, n, sends := newOddPair(t, "engine",
		func(conn net.Conn, attempt string) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: 1000\r\n\r\n%s", platformtest.SignedHeader("200 OK", attempt), oneEvent)
			_ = conn.Close()
		},
		func(conn net.Conn, attempt string) { writeOdd(conn, status.Load().(string), attempt) })
	for _, odd := range oddStatuses {
		t.Run(odd, func(t *testing.T) {
			status.Store(odd)
			sends.Store(0)
			got := s.send(n, request{path: "/resume/x", body: "prompt"})
			require.Equal(t, oneEvent, got.body)
			require.Error(t, got.err, "a stream that broke off looks complete")
			require.EqualValues(t, 2, sends.Load())
		})
	}
}

// TestInterimResponsesAreBounded guards against a replica that sends interim responses without end, and
// against the loss of an answer after a few of them.
func TestInterimResponsesAreBounded(t *testing.T) {
	var interim atomic.Int64
	s, n, _ := newRawSite(t, "plain", func(conn net.Conn, attempt string) {
		_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", int(interim.Load()))+
			platformtest.SignedHeader("200 OK", attempt)+"Content-Length: 5\r\n\r\nwhole")
	})
	for count, status := range map[int64]int{1: http.StatusOK, 3: http.StatusOK, 1000: http.StatusBadGateway} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			interim.Store(count)
			got := s.send(n, request{path: "/once/x", body: "b"})
			require.NoError(t, got.err)
			require.Equal(t, status, got.status)
		})
	}
}
