package faulttest

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// leaseDuration is the duration of a lease in the settings of a node.
	leaseDuration = time.Second
	// handoverRounds is how often the leader is replaced in a test.
	handoverRounds = 6
	// handoverNodes is the number of nodes of the site: with two, a host that lost the lease is the
	// one that takes it over next.
	handoverNodes = 2
)

// TestLeaderTasksMoveInOrderWithoutFencing replaces the leader again and again at a platform that
// does not compare fencing numbers, while each host comes back at once.
func TestLeaderTasksMoveInOrderWithoutFencing(t *testing.T) {
	for name, replace := range map[string]func(*gatewaySite, *gatewayNode){
		"cut off from the store, then its successor stopped": (*gatewaySite).cutOffThenStopSuccessor,
		"stopped": func(s *gatewaySite, n *gatewayNode) { s.pauseOrRestart(soakStep{kind: soakStop}, n) },
		"killed":  func(s *gatewaySite, n *gatewayNode) { s.pauseOrRestart(soakStep{kind: soakKill}, n) },
		"paused": func(s *gatewaySite, n *gatewayNode) {
			s.pauseOrRestart(soakStep{kind: soakPause, duration: 3 * leaseDuration}, n)
		},
		"cut off from the store": func(s *gatewaySite, n *gatewayNode) {
			s.injectEndpointFault(soakStep{kind: soakEndpointUnresponsive, duration: 3 * leaseDuration}, n)
		},
		"without responses to writes": func(s *gatewaySite, _ *gatewayNode) {
			s.injectStoreFault(soakStep{kind: soakStoreLosesWriteResponses, duration: 2 * leaseDuration})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			cloud := platformtest.NewCloud(t)
			cloud.IgnoreFencing()
			s := startGatewaySiteWithCloud(t, cloud, handoverNodes, gatewayReplicas)
			stop := make(chan struct{})
			defer close(stop)
			go s.newCaller(1, 0).run(stop)
			for range handoverRounds {
				replace(s, s.awaitLeaderCall(func(string) bool { return true }))
			}
			s.checkHandovers()
		})
	}
}

// cutOffThenStopSuccessor partitions a node from the store until another one makes a leader's call,
// and stops that one.
func (s *gatewaySite) cutOffThenStopSuccessor(n *gatewayNode) {
	var successor *gatewayNode
	s.whileDisturbed(n, func() {
		n.storeEndpoint.SetMode(platformtest.StoreUnresponsive)
		successor = s.awaitLeaderCall(func(holder string) bool { return holder != n.settings.Name })
		n.storeEndpoint.SetMode(platformtest.StoreHealthy)
	})
	s.pauseOrRestart(soakStep{kind: soakStop}, successor)
}

// awaitLeaderCall waits for the next call to the cloud API by one of the wanted holders and returns
// the node that made it.
func (s *gatewaySite) awaitLeaderCall(wanted func(holder string) bool) *gatewayNode {
	s.t.Helper()
	before := len(s.cloud.Calls())
	var holder string
	require.Eventually(s.t, func() bool {
		for _, c := range s.cloud.Calls()[before:] {
			if wanted(c.Holder) {
				holder = c.Holder
				return true
			}
		}
		return false
	}, gatewayReadyTimeout, time.Millisecond)
	at := slices.IndexFunc(s.nodes, func(n *gatewayNode) bool { return n.settings.Name == holder })
	return s.nodes[at]
}
