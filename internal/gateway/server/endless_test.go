package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// endlessAtOnce is how many requests meet bytes without end at once, and endlessMemory
	// what these may add to the heap: half of what a node may use for control.
	endlessAtOnce = 50
	endlessMemory = 16 << 20
)

var piece = strings.Repeat("x", 16<<10)

// endless are answers that do not end, by how they begin.
var endless = map[string]struct {
	head  func(attempt string) string
	piece string
}{
	"status line":     {func(string) string { return "" }, piece},
	"header line":     {func(a string) string { return platformtest.SignedHead("200 OK", a) + "X-Long: " }, piece},
	"header":          {func(a string) string { return platformtest.SignedHead("200 OK", a) }, strings.Repeat("X-More: y\r\n", 1000)},
	"interim answers": {func(string) string { return "" }, "HTTP/1.1 102 Processing\r\nX-Long: " + piece + "\r\n\r\n"},
	"body without a length": {func(a string) string {
		return platformtest.SignedHead("200 OK", a) + "Connection: close\r\n\r\n"
	}, piece},
	"body in chunks": {func(a string) string {
		return platformtest.SignedHead("200 OK", a) + "Transfer-Encoding: chunked\r\n\r\n"
	}, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)},
	"chunk extension": {func(a string) string {
		return platformtest.SignedHead("200 OK", a) + "Transfer-Encoding: chunked\r\n\r\n5;"
	}, piece},
	"trailer": {func(a string) string {
		return platformtest.SignedHead("200 OK", a) + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n"
	}, strings.Repeat("X-More: y\r\n", 1000)},
	"failure": {func(a string) string {
		return platformtest.SignedHead("500 Internal Server Error", a) + "Connection: close\r\n\r\n"
	}, piece},
	"rejection": {func(a string) string {
		return platformtest.SignedHead("503 Service Unavailable", a) + "X-Mangoledge-Not-Executed: 1\r\nConnection: close\r\n\r\n"
	}, piece},
	"rejection in chunks": {func(a string) string {
		return platformtest.SignedHead("503 Service Unavailable", a) + "X-Mangoledge-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	}, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)},
	"wrong upstream": {func(a string) string {
		return platformtest.SignedHead("421 Misdirected Request", a) + "Connection: close\r\n\r\n"
	}, piece},
}

func TestAnswersWithoutEndNeitherFillANodeNorLookComplete(t *testing.T) {
	for name, c := range endless {
		t.Run(name, func(t *testing.T) { meetEndless(t, "/once/x", "plain", c.head, c.piece) })
	}
	event := func(a string) string {
		return platformtest.SignedHead("200 OK", a) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	}
	t.Run("event", func(t *testing.T) { meetEndless(t, "/stream/x", "engine", event, piece) })
	t.Run("event of many lines", func(t *testing.T) {
		meetEndless(t, "/stream/x", "engine", event, strings.Repeat("data: y\n", 1000))
	})
}

// meetEndless sends requests at once to a replica whose answers do not end.
func meetEndless(t *testing.T, path, service string, head func(string) string, piece string) {
	t.Helper()
	s := newTestSite(t)
	replica := platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
		platformtest.Endless(conn, head(attempt), piece)
	})
	s.store.Put("servers", "i-1", replica.Entry(service))
	s.configure(1, nil)
	n := s.start(1, "a", nil)
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams[service] == 1 && s.stateOf(n).QuotaBegun }, patience, 20*time.Millisecond)
	peak := peakHeap(func() {
		var all sync.WaitGroup
		for range endlessAtOnce {
			all.Go(func() {
				got := s.sendCounting(n, request{path: path, body: "b", deadline: time.Second})
				if got.err == nil && got.status/100 == 2 {
					t.Errorf("status %d, %d bytes look complete", got.status, got.bytes)
				}
			})
		}
		all.Wait()
	})
	t.Logf("%d KB of heap", peak>>10)
	require.Less(t, peak, endlessMemory, "bytes of heap")
	require.Eventually(t, func() bool { return replica.Closed() >= replica.Arrived() }, patience, 20*time.Millisecond, "connections are closed")
}

// peakHeap returns how much the heap grew at most while do ran.
func peakHeap(do func()) int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := m.HeapInuse, m.HeapInuse
	done := make(chan struct{})
	go func() { defer close(done); do() }()
	for {
		select {
		case <-done:
			return int(peak - before) //nolint:gosec // the peak is not below
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
		}
	}
}

func TestALongAnswerComesWholeOrBrokenOff(t *testing.T) {
	for _, size := range []int{100_000, 1 << 20, 16 << 20, 17 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newTestSite(t)
			body := strings.Repeat("y", size)
			replica := platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", platformtest.SignedHead("200 OK", attempt), size, body)
			})
			s.store.Put("servers", "i-1", replica.Entry("plain"))
			s.configure(1, nil)
			n := s.start(1, "a", nil)
			require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["plain"] == 1 && s.stateOf(n).QuotaBegun }, patience, 20*time.Millisecond)
			got := s.sendCounting(n, request{path: "/once/x", body: "b"})
			if got.err == nil && got.status == http.StatusOK {
				require.Equal(t, int64(size), got.bytes)
			}
			if size <= 16<<20 {
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
			}
		})
	}
}

func TestARejectionWhoseBodyDoesNotEndHoldsNoRequestUp(t *testing.T) {
	s := newTestSite(t)
	raw := platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
		_, _ = fmt.Fprint(conn, platformtest.SignedHead("503 Service Unavailable", attempt)+"X-Mangoledge-Not-Executed: 1\r\nContent-Length: 100000\r\n\r\nx")
	})
	s.store.Put("servers", "i-1", raw.Entry("plain"))
	s.configure(1, func(c map[string]any) {
		for _, route := range c["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = 60_000
		}
	})
	n := s.start(1, "a", nil)
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["plain"] == 1 && s.stateOf(n).QuotaBegun }, patience, 20*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	got := s.send(n, request{path: "/once/x", body: "b", deadline: time.Minute, ctx: ctx})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}
