package server_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// TestStreamsSentLateInAStopAreWholeOrRefused guards against streams that a stopping node takes
// and cuts when its process ends.
func TestStreamsSentLateInAStopAreWholeOrRefused(t *testing.T) {
	const (
		clients  = 8
		deadline = 9 * time.Second
		// excusedUntil is how long after the beginning of a stop a stream may be sent that is cut.
		excusedUntil = 3 * time.Second
	)
	s := newTestSite(t)
	s.addReplica("i-plain", "plain")
	engine := platformtest.NewReplica(t, "i-1")
	engine.Events, engine.EventPause = 35, 100*time.Millisecond
	s.store.Put("servers", "i-1", engine.Entry("engine", func(entry map[string]any) { entry["slots"] = 100 }))
	s.putConfig(1, func(config map[string]any) {
		for _, route := range config["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = 10000
		}
	})
	n := s.startNode(1, "a", nil)
	s.waitReady(n)

	type result struct {
		attempt  string
		sent     time.Time
		response clientResponse
	}
	var mu sync.Mutex
	var results []result
	var sending sync.WaitGroup
	ended := make(chan struct{})
	send := func(client, i int) {
		r := result{attempt: fmt.Sprintf("client-%d-%d", client, i), sent: time.Now()}
		r.response = s.send(n, request{path: "/stream/x", deadline: deadline, header: map[string]string{"X-Mangoledge-Attempt-Id": r.attempt}})
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
	}
	began := time.Now()
	go func() {
		n.Stop()
		n.close() // the end of the process
		close(ended)
	}()
	for client := range clients {
		sending.Go(func() {
			time.Sleep(time.Duration(client) * 450 * time.Millisecond)
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				default:
				}
				send(client, i)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	<-ended
	sending.Wait()

	ran := make(map[string]bool)
	for _, run := range engine.Runs() {
		ran[run.AttemptID] = true
	}
	refused := 0
	for _, r := range results {
		after := r.sent.Sub(began)
		if r.response.status == http.StatusServiceUnavailable {
			refused++
			require.False(t, ran[r.attempt], "%s was refused and has run", r.attempt)
			continue
		}
		if ran[r.attempt] && after > excusedUntil {
			require.NoError(t, r.response.err, "%s, sent %s after the stop began, was cut", r.attempt, after)
		}
	}
	require.Positive(t, refused)
}
