package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/profile"
)

// BenchmarkMessage measures the size and the encoding and decoding time of a message, at a site
// of 63 nodes, 64 upstreams and 16 workspaces.
func BenchmarkMessage(b *testing.B) {
	for name, detail := range map[string]DetailLevel{"brief": Brief, "usual": Standard, "full": Full} {
		b.Run(name, func(b *testing.B) {
			m := benchMessage(detail)
			size := 0
			for b.Loop() {
				data, err := m.encode()
				require.NoError(b, err)
				_, err = decodeMessage(data)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func benchMessage(detail DetailLevel) *Message {
	m := &Message{
		Node: "edge-pnw-a-10", Incarnation: "18b29a1c82e4a1a4", Sequence: 1000, Ready: true,
		FrontendAddress: "10.1.0.14:8221", ControlAddress: "10.1.0.14:8229", Address: "10.1.0.14:7600", FailureDomain: "pnw-a", LinkMbps: 10,
		ConfigVersion: 21, UpstreamChanges: 800, StoreAgeMs: 400,
	}
	if detail == Brief {
		return m
	}
	m.Spent = make(map[string]float64)
	m.Demand = map[string]Demand{"service": {Prefill: 31_234.5, Output: 812.25}}
	for i := range 16 {
		m.Spent[fmt.Sprintf("workspace%d", i)] = 1234567
	}
	for i := range uint32(20) { // typical number of upstreams with outstanding requests under heavy load
		m.Loads = append(m.Loads, Load{Upstream: i * 0x08080808, Requests: 2, Prefill: 5000})
	}
	var timings []profile.Timing
	for i := range 6 { // a node's share of 500 requests a second at 83 nodes
		timings = append(timings, profile.NewTiming(uint32(i)*0x08080808, 2890, 1200, 9, 140*time.Millisecond))
	}
	m.Timings = profile.Pack(timings)
	m.TimingCount = 10_000
	if detail == Full {
		m.Usage = make(map[int64]map[string]int64)
		for window := range int64(4) {
			m.Usage[353_447_120+window] = make(map[string]int64)
			for i := range 16 {
				m.Usage[353_447_120+window][fmt.Sprintf("workspace%d", i)] = 40
			}
		}
	}
	return m
}
