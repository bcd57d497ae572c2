package server_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// cpuTime returns the CPU time used by this process, including the fake platform.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // does not fail for RUSAGE_SELF
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchSite starts a site with one plain replica and one engine.
func benchSite(b *testing.B, events int) (*testSite, *testNode, *platformtest.Replica) {
	b.Helper()
	s := newTestSite(b)
	plain := s.addReplica("i-p", "plain")
	engine := s.addReplica("i-e", "engine")
	engine.Events, engine.EventPause = events, time.Millisecond
	s.store.Put("servers", "i-e", engine.Entry("engine", func(e map[string]any) { e["slots"] = 2000 }))
	s.putConfig(1, func(c map[string]any) { c["tenants"] = []any{} })
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	return s, n, plain
}

// sendDirect sends a request to the replica as the gateway would.
func sendDirect(b *testing.B, s *testSite, replica *platformtest.Replica) {
	b.Helper()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, replica.Server.URL+"/again/x", nil)
	require.NoError(b, err)
	req.Header.Set("X-Mangoledge-Expect-Replica", replica.ID)
	req.Header.Set("X-Mangoledge-Attempt-Id", "direct")
	response, err := s.client.Do(req)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
}

// BenchmarkExchange measures the latency and CPU time that the gateway adds to a call of a plain
// service.
func BenchmarkExchange(b *testing.B) {
	s, n, plain := benchSite(b, 1)
	measure := func(call func()) (times []time.Duration, cpu time.Duration) {
		began := cpuTime()
		for range b.N {
			at := time.Now()
			call()
			times = append(times, time.Since(at))
		}
		slices.Sort(times)
		return times, (cpuTime() - began) / time.Duration(b.N)
	}
	sendDirect(b, s, plain)
	without, cpuWithout := measure(func() { sendDirect(b, s, plain) })
	b.ResetTimer()
	with, cpuWith := measure(func() { s.send(n, request{method: http.MethodGet, path: "/again/x"}) })
	b.StopTimer()
	quantile := func(q float64) float64 {
		at := int(q * float64(b.N-1))
		return float64((with[at] - without[at]).Microseconds())
	}
	b.ReportMetric(quantile(0.5), "added-p50-us")
	b.ReportMetric(quantile(0.99), "added-p99-us")
	b.ReportMetric(float64((cpuWith - cpuWithout).Microseconds()), "added-cpu-us/request")
}

// BenchmarkStreams measures open streams: CPU time per event and memory per stream, with the fake
// replica and the client in the same process.
func BenchmarkStreams(b *testing.B) {
	const streams, events = 1000, 100
	s, n, _ := benchSite(b, events)
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		began := cpuTime()
		var all sync.WaitGroup
		for range streams {
			all.Go(func() {
				got := s.send(n, request{path: "/stream/x", body: "prompt", deadline: time.Minute})
				if got.err != nil || strings.Count(got.body, "data:") != events {
					b.Error(fmt.Sprint("stream is incomplete: status ", got.status, ", error ", got.err))
				}
			})
		}
		time.Sleep(150 * time.Millisecond)
		runtime.ReadMemStats(&during)
		all.Wait()
		b.ReportMetric(float64((cpuTime()-began).Nanoseconds())/streams/events, "cpu-ns/event")
		b.ReportMetric(float64(during.HeapAlloc+during.StackInuse-before.HeapAlloc-before.StackInuse)/streams/1024, "KB/stream")
	}
}
