package server

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/clock"
	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
	standin "mangoledge.example/mangoledge/internal/standin/platform"
)

// TestFewOfManyStartingNodesCallTheStore starts nodes one after another, each of which finds only
// those before it in the store, and lets them hear from each other afterwards.
func TestFewOfManyStartingNodesCallTheStore(t *testing.T) {
	const nodes = 40
	server := httptest.NewServer(standin.NewServer(standin.Options{Seed: 1}))
	t.Cleanup(server.Close)
	store := objects.NewClient(objects.Options{BaseURL: server.URL, Budget: objects.NewBudget(1e6, 1000)})
	t.Cleanup(store.Close)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var all []*Gateway
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		own := peers.Record{Incarnation: "1", Address: fmt.Sprintf("10.0.0.%d:1", i), Control: fmt.Sprintf("10.0.0.%d:2", i)}
		g := &Gateway{
			settings: &site.Settings{Node: name}, startedAt: time.Now(),
			nodeRegistry: peers.NewRegistry(store, name, own, slog.Default()), peerTable: peers.NewTable(clock.Boot),
		}
		require.False(t, g.isLeaseCandidate(), "the nodes were not listed yet")
		go g.nodeRegistry.Run(ctx)
		<-g.nodeRegistry.Joined()
		g.startedAt = time.Now()
		require.False(t, g.isLeaseCandidate(), "other nodes may be starting")
		require.False(t, g.mustWatch())
		all = append(all, g)
	}
	candidates, watchers := 0, 0
	for _, g := range all {
		for _, other := range all {
			if other != g {
				g.nodeRegistry.Update(other.settings.Node, peers.Record{Incarnation: "1", Address: "10.0.1.1:1"})
			}
		}
		g.startedAt = time.Now().Add(-startupSettleTime)
		if g.isLeaseCandidate() {
			candidates++
		}
		if g.mustWatch() {
			watchers++
		}
	}
	require.Equal(t, maxLeaseCandidates, candidates)
	require.Equal(t, minWatchers, watchers)
}
