package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// engines returns the engines that a node may send requests to.
func (s *testSite) engines(n *testNode) int { return s.stateOf(n).Upstreams["engine"] }

// streamWithKey returns a stream request that shares no part of its prompt with others.
func (s *testSite) streamWithKey(key string) request {
	number := s.attempts.Load()
	return request{
		path: "/stream/x", body: fmt.Sprint("b", number), key: key,
		header: map[string]string{"X-Mangoledge-Prefix-Hash": fmt.Sprintf("a%x:50,b%x:50", number, number)},
	}
}

func TestSiteServesAsBeforeWhileStoreComesBackFromOlderCopy(t *testing.T) {
	for _, rewriteAfter := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(rewriteAfter.String(), func(t *testing.T) {
			s := newTestSite(t)
			s.addReplica("i-p", "plain")
			stays, leaves := s.addReplica("i-1", "engine"), s.addReplica("i-2", "engine")
			s.putConfig(1, nil)
			var nodes []*testNode
			for i := 1; i <= 3; i++ {
				nodes = append(nodes, s.startNode(i, "a", nil))
			}
			s.waitReady(nodes...)
			older := s.store.Copy()
			s.putConfig(2, func(c map[string]any) {
				c["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{"second"}
			})
			s.store.Remove("servers", leaves.ID)
			comes := s.addReplica("i-3", "engine")
			asBefore := func(n *testNode) bool {
				return s.stateOf(n).ConfigVersion == 2 && s.engines(n) == 2 &&
					s.send(n, s.streamWithKey("second")).status == http.StatusOK
			}
			for _, n := range nodes {
				require.Eventually(t, func() bool { return asBefore(n) }, waitTimeout, 20*time.Millisecond)
			}
			ranAtLeft := len(leaves.Runs())

			s.store.SetMode(platformtest.StoreBusy)
			time.Sleep(300 * time.Millisecond)
			writeAgain := s.store.ComeBackFrom(older)
			s.store.SetMode(platformtest.StoreHealthy)
			back := time.Now()
			var starting *testNode
			for rewritten := false; time.Since(back) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
				if !rewritten && time.Since(back) >= rewriteAfter {
					writeAgain()
					rewritten = true
				}
				if starting == nil && time.Since(back) > 200*time.Millisecond {
					starting = s.startNode(4, "a", func(f *platformtest.NodeSettings) { f.FirstStart = false })
				}
				for i, n := range nodes {
					require.True(t, asBefore(n), "node %d, %s after the store came back", i+1, time.Since(back))
				}
			}
			require.Eventually(t, func() bool { return asBefore(starting) }, waitTimeout, 20*time.Millisecond)
			require.Len(t, leaves.Runs(), ranAtLeft, "an upstream that had left was used")
			require.NotEmpty(t, stays.Runs())
			require.NotEmpty(t, comes.Runs())
			s.putConfig(3, nil)
			s.store.Remove("servers", comes.ID)
			for _, n := range append(nodes, starting) {
				require.Eventually(t, func() bool { return s.stateOf(n).ConfigVersion == 3 && s.engines(n) == 1 }, waitTimeout, 20*time.Millisecond)
			}
		})
	}
}

func TestNodesWriteTheirRecordsAgainAfterStoreCameBackFromOlderCopy(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("i-p", "plain")
	s.putConfig(1, nil)
	older := s.store.Copy()
	var nodes []*testNode
	for i := 1; i <= 3; i++ {
		nodes = append(nodes, s.startNode(i, "a", nil))
	}
	s.waitReady(nodes...)
	for range 2 { // twice in a row
		s.store.ComeBackFrom(older)
		time.Sleep(700 * time.Millisecond)
	}
	for i := 1; i <= 3; i++ {
		require.Eventually(t, func() bool { return s.store.Get("mangoledge-nodes", fmt.Sprintf("node-%d", i)) != nil }, waitTimeout, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		var written struct {
			StoreEra uint64 `json:"storeEra"`
		}
		return json.Unmarshal(s.store.Get("mangoledge-quota", "spent"), &written) == nil && written.StoreEra == s.store.Era()
	}, waitTimeout, 20*time.Millisecond)
}
