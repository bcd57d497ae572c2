package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// BenchmarkNodesAtRest measures what nodes cost while no client asks anything: their
// messages to each other and what follows from them. The stand-in of the store is in it.
func BenchmarkNodesAtRest(b *testing.B) {
	for _, nodes := range []int{7, 63} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) { nodesAtRest(b, nodes) })
	}
}

func nodesAtRest(b *testing.B, nodes int) {
	const upstreams, span = 60, 5 * time.Second
	s := newTestSite(b)
	for i := range upstreams {
		id := fmt.Sprintf("i-%d", i)
		s.store.Put("servers", id, platformtest.NewReplica(b, id).Entry("engine", nil))
	}
	s.configure(1, nil)
	var all []*testNode
	for i := range nodes {
		all = append(all, s.start(i+1, fmt.Sprintf("domain-%d", i%3), nil))
	}
	for _, n := range all {
		require.Eventually(b, func() bool { return len(s.addresses(n)) == nodes }, patience, 50*time.Millisecond)
	}
	for b.Loop() {
		began := processorTime()
		time.Sleep(span)
		share := (processorTime() - began).Seconds() / span.Seconds() / float64(nodes)
		b.ReportMetric(100*share, "%core/node")
	}
}
