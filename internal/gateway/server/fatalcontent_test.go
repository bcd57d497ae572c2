package server_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// crashingBody is the request body that crashes the test replicas.
const crashingBody = "a body that crashes its replica"

// isContentRefused reports whether a request is refused because of its content.
func (s *testSite) isContentRefused(n *testNode, r request) bool {
	got := s.send(n, r)
	return got.status == http.StatusServiceUnavailable && got.body == "content_crashes_upstreams\n"
}

// countCrashingRuns counts the runs of crashingBody.
func countCrashingRuns(replicas ...*platformtest.Replica) int {
	n := 0
	for _, r := range replicas {
		for _, run := range r.Runs() {
			if run.Body == crashingBody {
				n++
			}
		}
	}
	return n
}

func TestStreamWithCrashingContentIsNotResumed(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("i-p", "plain")
	survivor := s.addReplica("i-0", "engine")
	survivor.Events, survivor.EventPause = 1000, 20*time.Millisecond
	s.putConfig(1, func(c map[string]any) {
		for _, route := range c["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = 20_000
		}
	})
	n := s.startNode(1, "a", nil)
	s.waitReadyToRetry(n)
	stream := request{path: "/resume/x", body: crashingBody, deadline: 20 * time.Second}
	response, err := s.open(n, stream)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	s.store.Put("servers", "i-0", survivor.Entry("engine", func(e map[string]any) { e["state"] = "draining" }))
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["engine"] == 0 }, waitTimeout, 20*time.Millisecond)
	crashed := make([]*platformtest.Replica, 0, 6)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		r := platformtest.NewReplica(t, id)
		r.CrashBody = crashingBody
		crashed = append(crashed, r)
		s.store.Put("servers", id, r.Entry("engine", nil))
	}
	require.Eventually(t, func() bool { return s.isContentRefused(n, stream) }, waitTimeout, 50*time.Millisecond)
	last := s.addReplica("i-5", "engine")
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["engine"] == 5 }, waitTimeout, 20*time.Millisecond)
	all := append(crashed, survivor, last)
	before := countCrashingRuns(all...)
	survivor.Server.CloseClientConnections()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, before, countCrashingRuns(all...))
}

func TestCrashingContentIsRecognizedAcrossKeyQueryAndModel(t *testing.T) {
	s := newTestSite(t)
	var replicas []*platformtest.Replica
	for n := range 8 {
		r := platformtest.NewReplica(t, fmt.Sprint("i-", n))
		r.CrashBody = crashingBody
		replicas = append(replicas, r)
		s.store.Put("servers", r.ID, r.Entry("plain", nil))
	}
	s.putConfig(1, func(c map[string]any) {
		w := c["tenants"].([]any)[0].(map[string]any)
		w["api_keys"] = []string{platformtest.WorkspaceKey, "another"}
	})
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	var sent atomic.Int64
	variants := []request{
		{path: "/once/x", body: crashingBody},
		{path: "/once/x?try=2", body: crashingBody},
		{path: "/once/x", body: crashingBody, key: "another"},
		{path: "/once/x", body: crashingBody, header: map[string]string{"X-Mangoledge-Model": "m2"}},
	}
	require.Eventually(t, func() bool {
		return s.isContentRefused(n, variants[sent.Add(1)%int64(len(variants))])
	}, waitTimeout, 300*time.Millisecond)
	for _, v := range variants {
		require.True(t, s.isContentRefused(n, v), "%+v", v)
	}
	require.LessOrEqual(t, countCrashingRuns(replicas...), 3)
	require.Equal(t, http.StatusOK, s.send(n, request{path: "/once/y", body: crashingBody + " elsewhere"}).status)
}

func TestInconclusiveStatusDoesNotClearContent(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusTooManyRequests, http.StatusNotFound, http.StatusFound} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := newTestSite(t)
			var ran atomic.Int64
			var replicas []*platformtest.Replica
			for n := range 8 {
				r := platformtest.NewReplica(t, fmt.Sprint("i-", n))
				r.CrashBody = crashingBody
				r.CrashStatus = func() int {
					if ran.Add(1) == 3 {
						return status
					}
					return 0
				}
				replicas = append(replicas, r)
				s.store.Put("servers", r.ID, r.Entry("plain", nil))
			}
			s.putConfig(1, nil)
			n := s.startNode(1, "a", nil)
			s.waitReady(n)
			once := request{path: "/once/x", body: crashingBody}
			require.Eventually(t, func() bool { return s.isContentRefused(n, once) }, waitTimeout, 300*time.Millisecond)
			require.LessOrEqual(t, countCrashingRuns(replicas...), 4)
		})
	}
}
