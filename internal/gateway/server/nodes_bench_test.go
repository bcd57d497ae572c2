package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// BenchmarkNodesAtRest measures the CPU time of nodes without client requests: their messages to
// each other and the resulting work. It includes the fake store.
func BenchmarkNodesAtRest(b *testing.B) {
	for _, nodes := range []int{7, 63} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) { benchmarkIdleNodes(b, nodes) })
	}
}

// benchmarkIdleNodes reports the share of a core that each of a number of idle nodes uses.
func benchmarkIdleNodes(b *testing.B, nodes int) {
	const upstreams, span = 60, 5 * time.Second
	s := newTestSite(b)
	for i := range upstreams {
		id := fmt.Sprintf("i-%d", i)
		s.store.Put("servers", id, platformtest.NewReplica(b, id).Entry("engine", nil))
	}
	s.putConfig(1, nil)
	var all []*testNode
	for i := range nodes {
		all = append(all, s.startNode(i+1, fmt.Sprintf("domain-%d", i%3), nil))
	}
	for _, n := range all {
		require.Eventually(b, func() bool { return len(s.resolveAddresses(n)) == nodes }, waitTimeout, 50*time.Millisecond)
	}
	for b.Loop() {
		began := cpuTime()
		time.Sleep(span)
		share := (cpuTime() - began).Seconds() / span.Seconds() / float64(nodes)
		b.ReportMetric(100*share, "%core/node")
	}
}
