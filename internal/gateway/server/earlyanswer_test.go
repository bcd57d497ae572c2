package server_test

import (
	"bytes"
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

// longUploadBytes is the size of a body that does not fit into the buffers of a connection.
const longUploadBytes = 8 << 20

var longUpload = strings.Repeat("u", longUploadBytes)

// earlyAnswer is an answer to a request whose body has not been read, and how its connection ends.
type earlyAnswer struct {
	status, text string
	end          func(net.Conn)
}

// newEarlySite starts a node with a replica of each service that gives the answer in next.
func newEarlySite(t *testing.T, next *atomic.Pointer[earlyAnswer]) (*testSite, *testNode, *atomic.Int64) {
	t.Helper()
	s := newTestSite(t)
	requests := new(atomic.Int64)
	for _, service := range []string{"plain", "engine"} {
		id := "i-" + service
		replica := platformtest.NewEarlyRawReplica(t, id, func(conn net.Conn, attempt string) {
			requests.Add(1)
			a := next.Load()
			_, _ = io.WriteString(conn, platformtest.SignedHeader(a.status, attempt)+a.text)
			time.Sleep(50 * time.Millisecond) // the answer arrives before its end
			a.end(conn)
		})
		s.store.Put("servers", id, replica.Entry(service))
	}
	s.putConfig(1, func(c map[string]any) {
		setRouteTimeouts(5 * time.Second)(c)
		c["limits"].(map[string]any)["max_body_bytes"] = 2 * longUploadBytes
	})
	n := s.startNode(1, "a", nil)
	require.Eventually(t, func() bool {
		state := s.stateOf(n)
		return state.Upstreams["plain"] == 1 && state.Upstreams["engine"] == 1 && state.QuotaBegun && state.NodesSharingRepeats > 0
	}, waitTimeout, 20*time.Millisecond)
	return s, n, requests
}

// earlyEnds are ways in which a replica ends a connection on which the body of a request still arrives.
var earlyEnds = map[string]func(net.Conn){
	"reset":              resetConn,
	"closed with unread": func(conn net.Conn) { _ = conn.Close() },
	"closed after reading on": func(conn net.Conn) {
		_, _ = io.CopyN(io.Discard, conn, 1<<20)
		_ = conn.Close()
	},
	"half closed": func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(300 * time.Millisecond)
		resetConn(conn)
	},
}

// TestUnframedAnswerToAnUnfinishedUploadDoesNotLookComplete guards against taking the end of file on a
// connection that ended under a long upload for the end of the answer.
func TestUnframedAnswerToAnUnfinishedUploadDoesNotLookComplete(t *testing.T) {
	var next atomic.Pointer[earlyAnswer]
	s, n, requests := newEarlySite(t, &next)
	for name, c := range map[string]struct{ path, body string }{
		"empty answer":          {"/once/x", ""},
		"short answer":          {"/once/x", "short"},
		"long answer":           {"/once/x", strings.Repeat("x", 90_000)},
		"empty repeated answer": {"/again/x", ""},
		"short repeated answer": {"/again/x", "short"},
		"long repeated answer":  {"/again/x", strings.Repeat("x", 90_000)},
		"empty stream":          {"/stream/x", ""},
		"stream":                {"/stream/x", oneEvent},
		"resumable stream":      {"/resume/x", oneEvent},
	} {
		for end, endConn := range earlyEnds {
			t.Run(name+" "+end, func(t *testing.T) {
				next.Store(&earlyAnswer{"200 OK", "\r\n" + c.body, endConn})
				requests.Store(0)
				got := s.send(n, request{path: c.path, body: longUpload})
				require.NotZero(t, requests.Load())
				require.False(t, got.err == nil && got.status == http.StatusOK, "looks complete: %.200s", got.body)
				if c.path == "/once/x" && len(c.body) < 90_000 {
					require.NoError(t, got.err)
					require.Equal(t, http.StatusBadGateway, got.status)
				}
			})
		}
	}
}

// TestFramedAnswerToAnUnfinishedUploadIsDelivered guards against the loss of answers, such as refusals,
// that come before the body was read and tell themselves where they end.
func TestFramedAnswerToAnUnfinishedUploadIsDelivered(t *testing.T) {
	var next atomic.Pointer[earlyAnswer]
	s, n, requests := newEarlySite(t, &next)
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusRequestEntityTooLarge} {
		for framing, text := range map[string]string{
			"length": "Content-Length: 5\r\n\r\nwhole",
			"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		} {
			for end, endConn := range earlyEnds {
				t.Run(fmt.Sprint(status, " ", framing, " ", end), func(t *testing.T) {
					next.Store(&earlyAnswer{fmt.Sprint(status, " Early"), text, endConn})
					requests.Store(0)
					got := s.send(n, request{path: "/once/x", body: longUpload})
					require.NoError(t, got.err)
					require.Equal(t, status, got.status)
					require.Equal(t, "whole", got.body)
					require.EqualValues(t, 1, requests.Load())
				})
			}
		}
	}
}

// TestRefusalOfAnUnfinishedUploadIsOneThatHasNotRun guards against answering 502 where the replica states,
// before it has read the body, that it does not run the request.
func TestRefusalOfAnUnfinishedUploadIsOneThatHasNotRun(t *testing.T) {
	var next atomic.Pointer[earlyAnswer]
	s, n, _ := newEarlySite(t, &next)
	for framing, text := range map[string]string{"length": "Content-Length: 5\r\n\r\nlater", "connection": "\r\nlater"} {
		for end, endConn := range earlyEnds {
			t.Run(framing+" "+end, func(t *testing.T) {
				next.Store(&earlyAnswer{"503 Service Unavailable", "X-Mangoledge-Not-Executed: 1\r\n" + text, endConn})
				got := s.send(n, request{path: "/once/x", body: longUpload})
				require.NoError(t, got.err)
				require.Equal(t, http.StatusServiceUnavailable, got.status)
			})
		}
	}
}

// TestConnectionOfAnUnfinishedUploadCarriesNothingElse guards against other bytes where a replica that
// answered early expects the rest of a body.
func TestConnectionOfAnUnfinishedUploadCarriesNothingElse(t *testing.T) {
	read := make(chan []byte, 3)
	var next atomic.Pointer[earlyAnswer]
	next.Store(&earlyAnswer{"200 OK", "Content-Length: 5\r\n\r\nwhole", func(conn net.Conn) {
		rest, _ := io.ReadAll(conn) // it ends with the connection, in whichever way
		read <- rest
	}})
	s, n, _ := newEarlySite(t, &next)
	for range cap(read) {
		got := s.send(n, request{path: "/once/x", body: longUpload})
		require.NoError(t, got.err)
		require.Equal(t, "whole", got.body)
	}
	for range cap(read) {
		rest := <-read
		require.Empty(t, bytes.Trim(rest, "u"), "%d bytes", len(rest))
	}
}
