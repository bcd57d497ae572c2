package server_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequestBody measures a request with a body through a node, and the memory that client, node
// and replica allocate for it.
func BenchmarkRequestBody(b *testing.B) {
	for _, size := range []int{0, 9 << 10, 1 << 20, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s, n, _ := benchSite(b, 1)
			s.putConfig(2, func(c map[string]any) {
				c["tenants"] = []any{}
				c["limits"].(map[string]any)["max_body_bytes"] = 4 << 20
			})
			require.Eventually(b, func() bool { return s.stateOf(n).ConfigVersion == 2 }, waitTimeout, 20*time.Millisecond)
			body := strings.Repeat("x", size)
			var times []time.Duration
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				at := time.Now()
				got := s.send(n, request{path: "/again/x", body: body})
				require.Equal(b, http.StatusOK, got.status)
				times = append(times, time.Since(at))
			}
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}
