package faulttest

import (
	"sync"
	"testing"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

func TestRestartsInSeriesStayWithinTheRetryBudget(t *testing.T) {
	for name, pause := range map[string]time.Duration{"each 0.6 s": 600 * time.Millisecond, "each 1 s": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			testRestartsWithFailingReplicas(t, pause, false)
		})
	}
}

func TestRestartsWhoseSettingsStillSayFirstStartRenewNothing(t *testing.T) {
	t.Run("retries", func(t *testing.T) {
		t.Parallel() // a site waits for most of its time
		testRestartsWithFailingReplicas(t, 600*time.Millisecond, true)
	})
	t.Run("quota", func(t *testing.T) {
		t.Parallel()
		testWithCallersOverQuota(t, gatewayNodes, overQuotaCallers, func(s *gatewaySite) {
			s.alwaysFirstStart = true
			s.killAllRepeatedly(quotaWindow, 1300*time.Millisecond)
		})
	})
}

// testRestartsWithFailingReplicas sends requests to replicas that fail all of them while all nodes
// are killed and restarted repeatedly, with the given pause, and checks the site.
func testRestartsWithFailingReplicas(t *testing.T, pause time.Duration, alwaysFirstStart bool) {
	t.Helper()
	const requestPause = 40 * time.Millisecond
	s := startGatewaySite(t, 6, gatewayReplicas)
	s.alwaysFirstStart = alwaysFirstStart
	setBehaviours(s.slots, platformtest.Fails)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	caller := s.newCaller(16, 1)
	// /open/ belongs to no workspace; a workspace's quota would limit the retries.
	sending.Go(func() {
		s.sendRoundRobin(stop, requestPause, func(n *gatewayNode) { caller.send(n, "/open/") })
	})
	s.killAllRepeatedly(2*retryBound.Window, pause)
	close(stop)
	sending.Wait()
	s.stopReplicaRestarts()
	s.check()
}
