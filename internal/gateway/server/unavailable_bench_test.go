package server_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// BenchmarkQuietInTurn reports the fraction of requests served in the worst second while, in
// rotation, a third of a service's upstreams ask for no requests for 2 s, at 200 requests per
// second.
func BenchmarkQuietInTurn(b *testing.B) {
	const seconds, perSecond, replicas, quiet = 12, 200, 6, 2 * time.Second
	for b.Loop() {
		s := newTestSite(b)
		all := make([]*platformtest.Replica, 0, replicas)
		for n := range replicas {
			all = append(all, s.addReplica(fmt.Sprint("i-", n), "plain"))
		}
		s.putConfig(1, nil)
		n := s.startNode(1, "a", nil)
		s.waitReady(n)
		require.Eventually(b, func() bool { return s.stateOf(n).Upstreams["plain"] == replicas }, waitTimeout, 20*time.Millisecond)
		var served [seconds]atomic.Int64
		var sending sync.WaitGroup
		for second := range seconds {
			if second%2 == 0 {
				firstQuiet := second / 2 % 3 * 2
				all[firstQuiet].RejectFor(quiet)
				all[firstQuiet+1].RejectFor(quiet)
			}
			for range perSecond {
				sending.Go(func() {
					if s.send(n, request{method: http.MethodGet, path: "/open/x", deadline: time.Second}).status == http.StatusOK {
						served[second].Add(1)
					}
				})
				time.Sleep(time.Second / perSecond)
			}
		}
		sending.Wait()
		worst, sum := int64(perSecond), int64(0)
		for i := range served {
			worst, sum = min(worst, served[i].Load()), sum+served[i].Load()
		}
		notices := 0
		for _, r := range all {
			notices += len(r.Notices())
		}
		b.ReportMetric(float64(worst)/perSecond, "worst-second")
		b.ReportMetric(float64(sum)/(seconds*perSecond), "served")
		b.ReportMetric(float64(notices), "turned-away")
	}
}
