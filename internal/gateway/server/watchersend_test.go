package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndOfTheWatchersIsNoOutageOfTheStore guards against replicas that are used after their
// removal, as nodes take the sudden end of the nodes that they follow for an outage of the store.
func TestEndOfTheWatchersIsNoOutageOfTheStore(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("i-1", "plain")
	leaver := s.addReplica("i-2", "plain")
	s.putConfig(1, nil)
	var nodes []*testNode
	for i := range 4 {
		nodes = append(nodes, s.startNode(i+1, fmt.Sprint("d", i%3), nil))
	}
	s.waitReady(nodes...)
	var watchers []*testNode
	var follower *testNode
	require.Eventually(t, func() bool {
		watchers = nil
		for _, n := range nodes {
			if s.stateOf(n).WatchesStore {
				watchers = append(watchers, n)
			} else {
				follower = n
			}
		}
		// What the follower knows must be old enough for the gap to look like an outage.
		return len(watchers) == 3 && s.stateOf(follower).StoreAgeMs > 700
	}, waitTimeout, 10*time.Millisecond)
	for _, n := range watchers {
		n.close()
	}
	s.store.Remove("servers", leaver.ID)
	require.Eventually(t, func() bool {
		state := s.stateOf(follower)
		return state.WatchesStore && state.Upstreams["plain"] == 1
	}, waitTimeout, 20*time.Millisecond)
	require.Zero(t, s.stateOf(follower).StoreOutages)
}
