package faulttest

import (
	"sync"
	"testing"
	"time"
)

// TestKillsInSeriesDoNotRenewTheQuota kills all nodes again before any of them can write
// down what was spent.
func TestKillsInSeriesDoNotRenewTheQuota(t *testing.T) {
	for name, pause := range map[string]time.Duration{"each 0.9 s": 900 * time.Millisecond, "each 1.3 s": 1300 * time.Millisecond, "each 2 s": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			s := startGatewaySite(t)
			t.Cleanup(func() { s.keepLogs(uint64(pause.Milliseconds())) })
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for i := range 2 * soakCallers {
				callers.Go(func() { s.newCaller(16, uint64(i)).run(stop) })
			}
			time.Sleep(quotaWindow / 2)
			for end := time.Now().Add(2 * quotaWindow); time.Now().Before(end); time.Sleep(pause) {
				s.killAll(0)
			}
			close(stop)
			callers.Wait()
			s.end()
			s.check()
		})
	}
}
