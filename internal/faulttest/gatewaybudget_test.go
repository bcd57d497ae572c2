package faulttest

import (
	"sync"
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
			behave(s.slots, platformtest.Fails)
			stop := make(chan struct{})
			var sending sync.WaitGroup
			caller := s.newCaller(16, 1)
			// A route without a workspace, whose quota would hold repeats back.
			sending.Go(func() {
				s.sendInTurn(stop, requestPause, func(n *gatewayNode) { caller.send(n, "/open/") })
			})
			s.killSeries(2*repeatBound.Window, pause)
			close(stop)
			sending.Wait()
			s.end()
			s.check()
		})
	}
}
