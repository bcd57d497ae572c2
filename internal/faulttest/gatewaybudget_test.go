package faulttest

import (
	"testing"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

func TestRestartsInSeriesStayWithinTheBudgetOfRepeats(t *testing.T) {
	for name, pause := range map[string]time.Duration{"each 0.6 s": 600 * time.Millisecond, "each 1 s": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			const requestPause = 40 * time.Millisecond
			s := startGatewaySite(t, 6, gatewayReplicas)
			bad := platformtest.Fails
			for _, slot := range s.slots {
				replica, _ := slot.newest()
				replica.Behave(bad)
			}
			stop, sent := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(sent)
				caller := s.newCaller(16, 1) // no workspace, whose quota would hold repeats back
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(requestPause):
						go caller.send(s.nodes[i%len(s.nodes)], "/open/")
					}
				}
			}()
			for end := time.Now().Add(2 * repeatWindow); time.Now().Before(end); time.Sleep(pause) {
				s.killAll(0)
			}
			close(stop)
			<-sent
			time.Sleep(soakDeadline + soakPatience)
			s.end()
			s.check()
		})
	}
}
