package faulttest

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// quarantinedSendTime is for how long a content that ends only some of its replicas is sent once it is refused.
const quarantinedSendTime = 10 * time.Second

// respondToEveryNthRun has each so many runs of the fatal content answered with a status; the others end their replica.
func respondToEveryNthRun(n int64, status int) func() int {
	var ran atomic.Int64
	return func() int {
		if ran.Add(1)%n == 0 {
			return status
		}
		return 0
	}
}

func TestAContentThatEndsSomeOfItsReplicasIsRefusedWhateverTheOthersAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		runs   int64
		status int
	}{
		"each second run succeeds":                    {2, http.StatusOK},
		"each third run succeeds":                     {3, http.StatusOK},
		"each third run is answered as a bad request": {3, http.StatusBadRequest},
		"each second run is answered with too many":   {2, http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			s := startGatewaySite(t, gatewayNodes, 8)
			s.nextRestart = func() replicaRestart { return replicaRestart{delay: 3 * time.Second} }
			s.crashStatus = respondToEveryNthRun(c.runs, c.status)
			stop := make(chan struct{})
			var sending sync.WaitGroup
			sending.Go(func() { s.sendCrashingContent(stop, "/again/") })
			require.Eventually(t, func() bool { return s.rejectedByAllNodes("/again/") }, 2*gatewayReadyTimeout, 100*time.Millisecond)
			refused := len(s.crashRuns())
			time.Sleep(quarantinedSendTime)
			close(stop)
			sending.Wait()
			s.stopReplicaRestarts()
			require.LessOrEqual(t, len(s.crashRuns())-refused, maxLateCrashes, "of %d runs", len(s.crashRuns()))
			s.check()
		})
	}
}

// popularBody is an ordinary content that many callers send.
const popularBody = "an ordinary content that many send"

func TestAPopularContentIsServedAfterItsReplicasEndedTogetherAgainAndAgain(t *testing.T) {
	t.Parallel() // a site waits for most of its time
	s := startGatewaySite(t, gatewayNodes, 8)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for i := range 12 {
		caller := s.newCaller(19, uint64(i))
		sending.Go(func() {
			s.sendRoundRobin(stop, 20*time.Millisecond, func(n *gatewayNode) { caller.sendBody(n, "/again/", popularBody) })
		})
	}
	for range 4 {
		time.Sleep(3 * time.Second)
		s.restartReplicasTogether(s.slots[:s.replicasPerService-2])
	}
	time.Sleep(settleTime)
	close(stop)
	sending.Wait()
	caller := s.newCaller(19, 100)
	for _, n := range s.nodes {
		require.Equal(t, http.StatusOK, caller.sendBody(n, "/again/", popularBody).status, n.settings.Name)
	}
	s.stopReplicaRestarts()
	s.check()
}

// restartReplicasTogether ends replicas at one moment; each comes back a second later.
func (s *gatewaySite) restartReplicasTogether(slots []*replicaSlot) {
	var all sync.WaitGroup
	for _, slot := range slots {
		all.Go(func() { s.injectReplicaFault(soakStep{kind: soakReplicaRestarts, duration: time.Second}, slot) })
	}
	all.Wait()
}
