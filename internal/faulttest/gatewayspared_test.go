package faulttest

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sparedTime is for how long a content that ends only some of its replicas is sent once it is refused.
const sparedTime = 10 * time.Second

// spareEach has each so many runs of the fatal content answered with a status; the others end their replica.
func spareEach(runs int64, status int) func() int {
	var ran atomic.Int64
	return func() int {
		if ran.Add(1)%runs == 0 {
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
			s.restarts = func() replicaReturn { return replicaReturn{after: 3 * time.Second} }
			s.spare = spareEach(c.runs, c.status)
			stop := make(chan struct{})
			var sending sync.WaitGroup
			sending.Go(func() { s.sendFatal(stop, "/again/") })
			require.Eventually(t, func() bool { return s.refusedEverywhere("/again/") }, 2*gatewayReadyLimit, 100*time.Millisecond)
			refused := len(s.fatalRuns())
			time.Sleep(sparedTime)
			close(stop)
			sending.Wait()
			s.end()
			require.LessOrEqual(t, len(s.fatalRuns())-refused, mostFatalAfter, "of %d runs", len(s.fatalRuns()))
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
			s.sendInTurn(stop, 20*time.Millisecond, func(n *gatewayNode) { caller.sendBody(n, "/again/", popularBody) })
		})
	}
	for range 4 {
		time.Sleep(3 * time.Second)
		s.endReplicas(s.slots[:s.replicas-2])
	}
	time.Sleep(settleTime)
	close(stop)
	sending.Wait()
	caller := s.newCaller(19, 100)
	for _, n := range s.nodes {
		require.Equal(t, http.StatusOK, caller.sendBody(n, "/again/", popularBody).status, n.settings.Name)
	}
	s.end()
	s.check()
}

// endReplicas ends replicas at one moment; each comes back a second later.
func (s *gatewaySite) endReplicas(slots []*replicaSlot) {
	var all sync.WaitGroup
	for _, slot := range slots {
		all.Go(func() { s.breakReplica(soakStep{kind: soakReplicaRestarts, long: time.Second}, slot) })
	}
	all.Wait()
}
