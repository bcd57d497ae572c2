package faulttest

import (
	"sync"
	"testing"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// overQuotaCallers is a number of callers that far exceed their workspace's quota.
const overQuotaCallers = 2 * soakCallers

// testWithCallersOverQuota runs faults on a site while callerNumber callers exceed their
// workspace's quota, and checks the site.
func testWithCallersOverQuota(t *testing.T, nodes, callerNumber int, faults func(*gatewaySite)) {
	t.Helper()
	s := startGatewaySite(t, nodes, gatewayReplicas)
	t.Cleanup(func() { s.copyLogsOnFailure(0) })
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range callerNumber {
		callers.Go(func() { s.newCaller(16, uint64(i)).run(stop) })
	}
	time.Sleep(quotaWindow)
	faults(s)
	close(stop)
	callers.Wait()
	s.stopReplicaRestarts()
	s.check()
}

func TestKillsInSeriesDoNotRenewTheQuota(t *testing.T) {
	for name, pause := range map[string]time.Duration{"each 0.9 s": 900 * time.Millisecond, "each 1.3 s": 1300 * time.Millisecond, "each 2 s": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			testWithCallersOverQuota(t, gatewayNodes, overQuotaCallers, func(s *gatewaySite) {
				s.killAllRepeatedly(2*quotaWindow, pause)
			})
		})
	}
}

func TestAKillOfAllAfterTheStoreWasAwayDoesNotRenewTheQuota(t *testing.T) {
	for name, outage := range map[string]time.Duration{"3 s": 3 * time.Second, "8 s": quotaWindow} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			testWithCallersOverQuota(t, gatewayNodes, overQuotaCallers, func(s *gatewaySite) {
				for range 2 {
					s.store.SetMode(platformtest.StoreBusy)
					time.Sleep(outage)
					s.store.SetMode(platformtest.StoreHealthy)
					s.killAll(0)
					time.Sleep(undisturbedTime)
				}
			})
		})
	}
}

func TestAWorkspaceThatBeginsToAskForManyTimesItsQuotaIsHeldToIt(t *testing.T) {
	for name, c := range map[string]struct{ nodes, callers int }{"6 nodes": {6, 120}, "40 nodes": {40, 40}} {
		t.Run(name, func(t *testing.T) {
			testWithCallersOverQuota(t, c.nodes, c.callers, func(*gatewaySite) {})
		})
	}
}
