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

// BenchmarkQuietInTurn reports the worst second of served requests while a third of the
// upstreams of a service ask for 2 s of quiet in turn, at 200 requests a second.
func BenchmarkQuietInTurn(b *testing.B) {
	const seconds, perSecond, replicas, quiet = 12, 200, 6, 2 * time.Second
	for b.Loop() {
		s := newTestSite(b)
		all := make([]*platformtest.Replica, 0, replicas)
		for n := range replicas {
			all = append(all, s.replica(fmt.Sprint("i-", n), "plain"))
		}
		s.configure(1, nil)
		n := s.start(1, "a", nil)
		s.ready(n)
		require.Eventually(b, func() bool { return s.stateOf(n).Upstreams["plain"] == replicas }, patience, 20*time.Millisecond)
		var served [seconds]atomic.Int64
		var sending sync.WaitGroup
		for second := range seconds {
			if second%2 == 0 {
				first := second / 2 % 3 * 2
				all[first].WantQuiet(quiet)
				all[first+1].WantQuiet(quiet)
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
