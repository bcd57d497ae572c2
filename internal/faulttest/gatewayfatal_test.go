package faulttest

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// crashBody is a content that ends each replica that runs it.
	crashBody = "a content that ends what runs it"
	// crashSendInterval is the time between two sends of it.
	crashSendInterval = 300 * time.Millisecond
	// crashSendTime is for how long it is sent.
	crashSendTime = 20 * time.Second
	// maxCrashes is how many replicas a fatal content may end before it is refused, and
	// mostFatalAfter how many nodes in touch may hand it on later than contactTime after.
	maxCrashes     = 3
	maxLateCrashes = 3
	// undisturbedTime is how long a node must be undisturbed for bounds of time to hold.
	undisturbedTime = 3 * time.Second
	// storeOutageTime is longer than a node that starts tries to restore its quota.
	storeOutageTime = 5 * time.Second
	// entryTTL is after how long the platform removes the entry of a silent replica.
	entryTTL = 3600 * time.Millisecond
)

// replicaRestart is how a replica that ended comes back.
type replicaRestart struct {
	delay time.Duration
	// linkStaysOpen is true when a proxy before the replica goes on taking connections.
	linkStaysOpen bool
}

// randomRestarts has replicas come back after 1 to 6 s, some behind a proxy that stays.
func randomRestarts(seed uint64) func() replicaRestart {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 16))
	return func() replicaRestart {
		mu.Lock()
		defer mu.Unlock()
		return replicaRestart{delay: time.Second + time.Duration(random.Int64N(int64(5*time.Second))), linkStaysOpen: random.IntN(2) == 0}
	}
}

// disturbance is a time in which a node was not in touch; of all nodes when node is nil.
type disturbance struct {
	node     *gatewayNode
	from, to time.Time
	// processFault is true when the processFault was restarted or stood still.
	processFault bool
}

// whileDisturbed notes that a node, or nil for all, is disturbed while do runs.
func (s *gatewaySite) whileDisturbed(n *gatewayNode, do func()) { s.addDisturbance(n, false, do) }

// whileProcessFault is disturb for restarts and pauses.
func (s *gatewaySite) whileProcessFault(n *gatewayNode, do func()) { s.addDisturbance(n, true, do) }

func (s *gatewaySite) addDisturbance(n *gatewayNode, processFault bool, do func()) {
	from := time.Now()
	do()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, disturbance{n, from, time.Now(), processFault})
}

// wasUndisturbed reports whether a node was undisturbed for contactTime before a moment.
func (s *gatewaySite) wasUndisturbed(node string, at time.Time) bool {
	return !slices.ContainsFunc(s.disturbances, func(d disturbance) bool {
		return (d.node == nil || d.node.settings.Name == node) && d.from.Before(at) && d.to.After(at.Add(-undisturbedTime))
	})
}

// restartCrashedReplica lets the entry of a replica lapse that a fatal content ended, and
// starts it anew under its ID.
func (s *gatewaySite) restartCrashedReplica(slot *replicaSlot, replica *platformtest.Replica) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	if newest, _ := slot.newest(); replica != newest {
		return
	}
	restart := s.nextRestart()
	if _, l := slot.newest(); !restart.linkStaysOpen {
		l.end()
	}
	if restart.delay > entryTTL {
		time.Sleep(entryTTL)
		s.store.Remove("servers", slot.id)
		restart.delay -= entryTTL
	}
	time.Sleep(restart.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restartsStopped {
		s.startReplica(slot)
	}
}

// stopReplicaRestarts lets no replica come back any more.
func (s *gatewaySite) stopReplicaRestarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartsStopped = true
}

// sendCrashingContent sends the fatal content to the nodes in turn until stop is closed.
func (s *gatewaySite) sendCrashingContent(stop <-chan struct{}, route string) {
	caller := s.newCaller(0, 0)
	s.sendRoundRobin(stop, crashSendInterval, func(n *gatewayNode) { caller.sendBody(n, route, crashBody) })
}

// crashRuns returns when replicas began to run the fatal content, and for which attempt.
func (s *gatewaySite) crashRuns() []replicaRun {
	var out []replicaRun
	for _, attemptRuns := range s.runs() {
		for _, run := range attemptRuns {
			if run.Body == crashBody {
				out = append(out, run)
			}
		}
	}
	slices.SortFunc(out, func(a, b replicaRun) int { return a.At.Compare(b.At) })
	return out
}

// checkCrashes checks that a fatal content is not sent on once it has ended mostFatal
// replicas and the nodes had the time to agree on it.
func (s *gatewaySite) checkCrashes() {
	s.t.Helper()
	runs := s.crashRuns()
	if len(runs) <= maxCrashes {
		return
	}
	nodeOfAttempt := make(map[string]string)
	for _, a := range s.attempts {
		nodeOfAttempt[a.id] = a.node
	}
	from := runs[maxCrashes-1].At.Add(undisturbedTime)
	late := slices.DeleteFunc(slices.Clone(runs), func(r replicaRun) bool {
		return !r.At.After(from) || !s.wasUndisturbed(nodeOfAttempt[r.AttemptID], r.At)
	})
	s.t.Logf("a content ended %d replicas, %d of them late", len(runs), len(late))
	if checksTimeBounds() && len(late) > maxLateCrashes {
		s.t.Errorf("a content that ended %d replicas reached %d more later than %s after the third, %d allowed; the last for %s\n%s",
			maxCrashes, len(late), undisturbedTime, maxLateCrashes, late[len(late)-1].AttemptID, s.logLinesOf(late[len(late)-1].AttemptID))
	}
}

// rejectedByAllNodes reports whether every node refuses the fatal content now.
func (s *gatewaySite) rejectedByAllNodes(route string) bool {
	caller := s.newCaller(0, 1)
	for _, n := range s.nodes {
		before := len(s.crashRuns())
		if a := caller.sendBody(n, route, crashBody); a.status != http.StatusServiceUnavailable || len(s.crashRuns()) > before {
			return false
		}
	}
	return true
}

func TestAContentThatEndsItsReplicasIsRefusedWhateverTheyNeedToComeBack(t *testing.T) {
	for name, restart := range map[string]replicaRestart{
		"after 1 s":                   {delay: time.Second},
		"after 3 s":                   {delay: 3 * time.Second},
		"after 5 s":                   {delay: 5 * time.Second},
		"after 2 s behind a proxy":    {delay: 2 * time.Second, linkStaysOpen: true},
		"after 5 s behind a proxy":    {delay: 5 * time.Second, linkStaysOpen: true},
		"after 1 to 6 s, some behind": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			s := startGatewaySite(t, gatewayNodes, 8)
			s.nextRestart = randomRestarts(16)
			if restart.delay > 0 {
				s.nextRestart = func() replicaRestart { return restart }
			}
			s.sendCrashingContentFor(crashSendTime)
			require.Eventually(t, func() bool { return s.rejectedByAllNodes("/again/") }, gatewayReadyTimeout, 100*time.Millisecond)
			s.stopReplicaRestarts()
			s.check()
		})
	}
}

func TestAContentThatEndsItsReplicasStaysRefusedWhenAllNodesStartAnew(t *testing.T) {
	t.Parallel() // a site waits for most of its time
	s := startGatewaySite(t, gatewayNodes, 8)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { s.sendCrashingContent(stop, "/again/") })
	require.Eventually(t, func() bool { return s.rejectedByAllNodes("/again/") }, 2*gatewayReadyTimeout, 100*time.Millisecond)
	crashesBefore := len(s.crashRuns())
	for round := range 4 {
		time.Sleep(undisturbedTime)
		if round%2 == 1 {
			s.store.SetMode(platformtest.StoreBusy)
		}
		s.killAll(0)
		if round%2 == 1 {
			time.Sleep(storeOutageTime)
			s.store.SetMode(platformtest.StoreHealthy)
		}
		s.waitUntilServing()
		time.Sleep(undisturbedTime)
		require.Eventually(t, func() bool { return s.rejectedByAllNodes("/again/") }, gatewayReadyTimeout, 100*time.Millisecond)
	}
	close(stop)
	sending.Wait()
	s.stopReplicaRestarts()
	crashesAfter := len(s.crashRuns()) - crashesBefore
	t.Logf("%d replicas ended until the content was refused, %d after that", crashesBefore, crashesAfter)
	require.LessOrEqual(t, crashesAfter, maxLateCrashes)
	s.check()
}
