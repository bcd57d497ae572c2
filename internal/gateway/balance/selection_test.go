package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

// manyNodes returns balancers of nodes that each sent one request lately, and that all have the
// same figures of the upstreams' load.
func manyNodes(t *testing.T, nodes int, c []site.Upstream, loads map[uint32]Outstanding, age time.Duration) []*testBalancer {
	t.Helper()
	var out []*testBalancer
	for i := range nodes {
		b := &testBalancer{time: time.Unix(1000, 0)}
		b.Balancer = New("a", MaxParts(0), func() time.Time { return b.time }, rand.New(rand.NewPCG(uint64(i), 3)).Float64)
		for range 12 {
			b.pick(t, unshared(2000), c).End(Answered)
			b.time = b.time.Add(250 * time.Millisecond)
		}
		b.SetPeerLoads(loads, Figures{Nodes: nodes - 1, Age: age})
		out = append(out, b)
	}
	return out
}

func unshared(tokens int) *site.Request {
	return &site.Request{PromptTokens: tokens, HasTokens: true}
}

func TestNodesWithTheSameOldFiguresDoNotAllSendToOneUpstream(t *testing.T) {
	c := upstreams(30)
	loads := make(map[uint32]Outstanding)
	for i, u := range c {
		loads[UpstreamHash(u.ID)] = Outstanding{Requests: 4, PrefillTokens: 500 * (i + 4)}
	}
	sent := make(map[string]int)
	for _, b := range manyNodes(t, 60, c, loads, 400*time.Millisecond) {
		sent[b.pick(t, unshared(2000), c).Upstream.ID]++
	}
	for id, n := range sent {
		require.LessOrEqual(t, n, 12, id) // 60 requests, 30 upstreams
	}
	require.Greater(t, len(sent), 10)
}

func TestOldFiguresDoNotScatterASession(t *testing.T) {
	c := upstreams(30)
	loads := make(map[uint32]Outstanding)
	for _, u := range c {
		loads[UpstreamHash(u.ID)] = Outstanding{Requests: 4, PrefillTokens: 3000}
	}
	sent := make(map[string]int)
	for _, b := range manyNodes(t, 60, c, loads, 400*time.Millisecond) {
		sent[b.pick(t, prompt("session", 500), c).Upstream.ID]++
	}
	require.Len(t, sent, 1, fmt.Sprint(sent))
}
