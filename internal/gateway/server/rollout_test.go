package server_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// rolloutSite is a site whose plain service has upstreams of two versions and an order for the second.
type rolloutSite struct {
	*testSite
	nodes []*testNode
	old   []*platformtest.Replica
	news  []*platformtest.Replica
}

func newRolloutSite(t *testing.T) *rolloutSite {
	t.Helper()
	s := &rolloutSite{testSite: newTestSite(t)}
	s.old = []*platformtest.Replica{s.addReplica("i-old-1", "plain"), s.addReplica("i-old-2", "plain")}
	s.putConfig(1, nil)
	for i := 1; i <= 5; i++ { // two of them follow watchers of their failure domain
		s.nodes = append(s.nodes, s.startNode(i, string(rune('a'+i%3)), func(n *platformtest.NodeSettings) {
			n.Rollouts, n.ExposureShare, n.ExposureSlack = true, 0.2, 50
		}))
	}
	s.waitReady(s.nodes...)
	return s
}

// order puts the operator's order and starts upstreams of the new version.
func (s *rolloutSite) order(durationS float64) {
	s.store.Put("rollouts", "plain", map[string]any{"service": "plain", "target": "v2", "duration_s": durationS})
	for _, id := range []string{"i-new-1", "i-new-2"} {
		r := platformtest.NewReplica(s.t, id)
		s.news = append(s.news, r)
		s.store.Put("servers", id, r.Entry("plain", func(e map[string]any) { e["version"] = "v2" }))
	}
}

// state returns the state of the order in the store.
func (s *rolloutSite) state() string {
	var out struct{ State, Target string }
	if json.Unmarshal(s.store.Status("rollouts", "plain"), &out) != nil || out.Target != "v2" {
		return ""
	}
	return out.State
}

// sendUntilEnded sends requests at all nodes until the order has ended, and returns how many. each, if
// not nil, is called while they are sent.
func (s *rolloutSite) sendUntilEnded(each func()) (sent int64) {
	var count atomic.Int64
	var stop atomic.Bool
	var all sync.WaitGroup
	for _, n := range s.nodes {
		all.Go(func() {
			for !stop.Load() {
				if s.send(n, request{method: http.MethodGet, path: "/open/x"}).err == nil {
					count.Add(1)
				}
			}
		})
	}
	require.Eventually(s.t, func() bool {
		if each != nil {
			each()
		}
		return s.state() == "completed" || s.state() == "rolled_back"
	}, 4*waitTimeout, 50*time.Millisecond)
	stop.Store(true)
	all.Wait()
	return count.Load()
}

func countRuns(replicas []*platformtest.Replica) (out int) {
	for _, r := range replicas {
		out += len(r.Runs())
	}
	return out
}

// requireOnly waits until the nodes send to some replicas only, and checks that they go on doing so.
func (s *rolloutSite) requireOnly(used, unused []*platformtest.Replica) {
	s.t.Helper()
	for _, n := range s.nodes {
		require.Eventually(s.t, func() bool {
			before := countRuns(unused)
			for range 20 {
				s.send(n, request{method: http.MethodGet, path: "/open/x"})
			}
			return countRuns(unused) == before
		}, waitTimeout, 20*time.Millisecond)
	}
	before, usedBefore := countRuns(unused), countRuns(used)
	for _, n := range s.nodes {
		for range 20 {
			require.Equal(s.t, http.StatusOK, s.send(n, request{method: http.MethodGet, path: "/open/x"}).status)
		}
	}
	require.Equal(s.t, before, countRuns(unused))
	require.GreaterOrEqual(s.t, countRuns(used), usedBefore+20*len(s.nodes))
}

func TestNodesRollBackAVersionThatFails(t *testing.T) {
	s := newRolloutSite(t)
	s.order(20)
	for _, r := range s.news {
		r.SetBehaviours(platformtest.Fails)
	}
	sent := s.sendUntilEnded(nil)
	require.Equal(t, "rolled_back", s.state())
	require.LessOrEqual(t, float64(countRuns(s.news)), 0.2*float64(sent)+50)
	s.requireOnly(s.old, s.news)
}

func TestNodesCompleteASoundVersionWhenTheHolderEnds(t *testing.T) {
	s := newRolloutSite(t)
	s.order(12)
	ended := ""
	s.sendUntilEnded(func() {
		if ended == "" && s.state() == "in_progress" {
			ended = s.endHolder()
		}
	})
	require.NotEmpty(t, ended)
	require.Equal(t, "completed", s.state())
	for _, r := range s.old { // the old ones stop at once
		s.store.Remove("servers", r.ID)
	}
	s.requireOnly(s.news, s.old)
}

// endHolder ends the process of the duty holder, and returns its name.
func (s *rolloutSite) endHolder() string {
	for i, n := range s.nodes {
		_, body := s.getInternal(n, platformtest.ControlPort, "/v1/state")
		var state struct{ Node, DutyHolder string }
		if json.Unmarshal([]byte(body), &state) == nil && len(state.DutyHolder) > len(state.Node) && state.DutyHolder[:len(state.Node)+1] == state.Node+"@" {
			n.close()
			s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
			return state.Node
		}
	}
	return ""
}

func TestWithoutTheContractOrdersAreNotRead(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("i-1", "plain")
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	s.store.Put("rollouts", "plain", map[string]any{"service": "plain", "target": "v1", "duration_s": 1})
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(n, request{method: http.MethodGet, path: "/open/x"}).status)
	}
	require.Empty(t, s.store.Status("rollouts", "plain"))
}
