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
	// endlessConcurrency is how many requests receive endless responses at once, and
	// maxEndlessHeapGrowth how many bytes these may add to the heap: half of the memory that a node
	// may use for control.
	endlessConcurrency   = 50
	maxEndlessHeapGrowth = 16 << 20
)

// endlessChunk is repeated without end in most endless responses.
var endlessChunk = strings.Repeat("x", 16<<10)

// endlessResponses are responses that never end, by the part that does not end.
var endlessResponses = map[string]struct {
	head  func(attempt string) string
	piece string
}{
	"status line":       {func(string) string { return "" }, endlessChunk},
	"header line":       {func(a string) string { return platformtest.SignedHeader("200 OK", a) + "X-Long: " }, endlessChunk},
	"header":            {func(a string) string { return platformtest.SignedHeader("200 OK", a) }, strings.Repeat("X-More: y\r\n", 1000)},
	"interim responses": {func(string) string { return "" }, "HTTP/1.1 102 Processing\r\nX-Long: " + endlessChunk + "\r\n\r\n"},
	"body without a length": {func(a string) string {
		return platformtest.SignedHeader("200 OK", a) + "Connection: close\r\n\r\n"
	}, endlessChunk},
	"chunked body": {func(a string) string {
		return platformtest.SignedHeader("200 OK", a) + "Transfer-Encoding: chunked\r\n\r\n"
	}, fmt.Sprintf("%x\r\n%s\r\n", len(endlessChunk), endlessChunk)},
	"chunk extension": {func(a string) string {
		return platformtest.SignedHeader("200 OK", a) + "Transfer-Encoding: chunked\r\n\r\n5;"
	}, endlessChunk},
	"trailer": {func(a string) string {
		return platformtest.SignedHeader("200 OK", a) + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n"
	}, strings.Repeat("X-More: y\r\n", 1000)},
	"failure": {func(a string) string {
		return platformtest.SignedHeader("500 Internal Server Error", a) + "Connection: close\r\n\r\n"
	}, endlessChunk},
	"rejection": {func(a string) string {
		return platformtest.SignedHeader("503 Service Unavailable", a) + "X-Mangoledge-Not-Executed: 1\r\nConnection: close\r\n\r\n"
	}, endlessChunk},
	"chunked rejection body": {func(a string) string {
		return platformtest.SignedHeader("503 Service Unavailable", a) + "X-Mangoledge-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	}, fmt.Sprintf("%x\r\n%s\r\n", len(endlessChunk), endlessChunk)},
	"body of wrong upstream": {func(a string) string {
		return platformtest.SignedHeader("421 Misdirected Request", a) + "Connection: close\r\n\r\n"
	}, endlessChunk},
}

func TestEndlessResponsesAreBoundedAndNeverLookComplete(t *testing.T) {
	for name, c := range endlessResponses {
		t.Run(name, func(t *testing.T) { sendToEndlessReplica(t, "/once/x", "plain", c.head, c.piece) })
	}
	event := func(a string) string {
		return platformtest.SignedHeader("200 OK", a) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	}
	t.Run("event", func(t *testing.T) { sendToEndlessReplica(t, "/stream/x", "engine", event, endlessChunk) })
	t.Run("event with many lines", func(t *testing.T) {
		sendToEndlessReplica(t, "/stream/x", "engine", event, strings.Repeat("data: y\n", 1000))
	})
}

// sendToEndlessReplica sends concurrent requests to a replica whose responses do not end.
func sendToEndlessReplica(t *testing.T, path, service string, head func(string) string, piece string) {
	t.Helper()
	s := newTestSite(t)
	replica := platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
		platformtest.WriteEndless(conn, head(attempt), piece)
	})
	s.store.Put("servers", "i-1", replica.Entry(service))
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams[service] == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
	peak := peakHeapGrowth(func() {
		var all sync.WaitGroup
		for range endlessConcurrency {
			all.Go(func() {
				got := s.sendCounting(n, request{path: path, body: "b", deadline: time.Second})
				if got.err == nil && got.status/100 == 2 {
					t.Errorf("response with status %d and %d bytes looks complete", got.status, got.bytes)
				}
			})
		}
		all.Wait()
	})
	t.Logf("heap grew by %d KB", peak>>10)
	require.Less(t, peak, maxEndlessHeapGrowth, "heap growth in bytes")
	require.Eventually(t, func() bool { return replica.ClosedConns() >= replica.Requests() }, waitTimeout, 20*time.Millisecond, "all connections are closed")
}

// peakHeapGrowth returns the maximum growth of the heap while do runs.
func peakHeapGrowth(do func()) int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := m.HeapInuse, m.HeapInuse
	done := make(chan struct{})
	go func() { defer close(done); do() }()
	for {
		select {
		case <-done:
			return int(peak - before) //nolint:gosec // peak is at least before
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
		}
	}
}

// setRouteTimeouts returns a change of the configuration that sets the timeout of all routes.
func setRouteTimeouts(d time.Duration) func(map[string]any) {
	return func(c map[string]any) {
		for _, route := range c["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = d.Milliseconds()
		}
	}
}

func TestLongResponseArrivesWholeOrFails(t *testing.T) {
	for _, size := range []int{100_000, 1 << 20, 16 << 20, 17 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newTestSite(t)
			body := strings.Repeat("y", size)
			replica := platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", platformtest.SignedHeader("200 OK", attempt), size, body)
			})
			s.store.Put("servers", "i-1", replica.Entry("plain"))
			s.putConfig(1, setRouteTimeouts(time.Minute))
			n := s.startNode(1, "a", nil)
			require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["plain"] == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
			got := s.sendCounting(n, request{path: "/once/x", body: "b", deadline: time.Minute})
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

func TestStalledRejectionBodyDoesNotDelayRequest(t *testing.T) {
	s := newTestSite(t)
	raw := platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
		_, _ = fmt.Fprint(conn, platformtest.SignedHeader("503 Service Unavailable", attempt)+"X-Mangoledge-Not-Executed: 1\r\nContent-Length: 100000\r\n\r\nx")
	})
	s.store.Put("servers", "i-1", raw.Entry("plain"))
	s.putConfig(1, setRouteTimeouts(time.Minute))
	n := s.startNode(1, "a", nil)
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["plain"] == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	got := s.send(n, request{path: "/once/x", body: "b", deadline: time.Minute, ctx: ctx})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}
