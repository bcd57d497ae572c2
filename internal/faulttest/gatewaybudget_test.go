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
			restartWhileAllFails(t, pause, false)
		})
	}
}

func TestRestartsWhoseSettingsStillSayFirstStartRenewNothing(t *testing.T) {
	t.Run("repeats", func(t *testing.T) {
		t.Parallel() // a site waits for most of its time
		restartWhileAllFails(t, 600*time.Millisecond, true)
	})
	t.Run("quota", func(t *testing.T) {
		t.Parallel()
		withHungryCallers(t, gatewayNodes, hungryCallers, func(s *gatewaySite) {
			s.firstStays = true
			s.killSeries(quotaWindow, 1300*time.Millisecond)
		})
	})
}

// restartWhileAllFails sends to replicas that fail all requests while all nodes are killed
// after each pause, and judges the site.
func restartWhileAllFails(t *testing.T, pause time.Duration, firstStays bool) {
	t.Helper()
	const requestPause = 40 * time.Millisecond
	s := startGatewaySite(t, 6, gatewayReplicas)
	s.firstStays = firstStays
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
}
