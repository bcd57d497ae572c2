package server_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlannedStopAnswersWhatItPassedOn stops a node while clients send on connections that they keep
// open until the node closes them.
func TestPlannedStopAnswersWhatItPassedOn(t *testing.T) {
	const clients = 24
	s := newTestSite(t)
	replica := s.addReplica("i-1", "plain")
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	var mu sync.Mutex
	failed := make(map[string]error)
	var answered atomic.Int64
	var sending sync.WaitGroup
	stopped := make(chan struct{})
	for client := range clients {
		sending.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				attempt := fmt.Sprintf("client-%d-%d", client, i)
				got := s.send(n, request{path: "/once/x", body: "b", header: map[string]string{"X-Mangoledge-Attempt-Id": attempt}})
				if got.err == nil {
					answered.Add(1)
					continue
				}
				mu.Lock()
				failed[attempt] = got.err
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	n.Stop()
	close(stopped)
	sending.Wait()
	require.Greater(t, answered.Load(), int64(clients))
	for _, run := range replica.Runs() {
		require.NoError(t, failed[run.AttemptID], "%s ran and was cut off", run.AttemptID)
	}
}
