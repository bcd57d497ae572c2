package faulttest

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rejectedSendTime is how long a content that crashes only some of its replicas is sent after all
// nodes reject it.
const rejectedSendTime = 10 * time.Second

// respondToEveryNthRun returns a crashStatus function: every nth run of crashBody gets a response
// with the status, the others crash their replica.
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
		"each second run is answered with status 429": {2, http.StatusTooManyRequests},
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
			runsUntilRejected := len(s.crashRuns())
			time.Sleep(rejectedSendTime)
			close(stop)
			sending.Wait()
			s.stopReplicaRestarts()
			require.LessOrEqual(t, len(s.crashRuns())-runsUntilRejected, maxLateCrashes, "of %d runs", len(s.crashRuns()))
			s.check()
		})
	}
}

// popularBody is an ordinary request body that many callers send.
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

// restartReplicasTogether ends replicas at once and starts each again a second later.
func (s *gatewaySite) restartReplicasTogether(slots []*replicaSlot) {
	var all sync.WaitGroup
	for _, slot := range slots {
		all.Go(func() { s.injectReplicaFault(soakStep{kind: soakReplicaRestarts, duration: time.Second}, slot) })
	}
	all.Wait()
}
