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
	// crashBody is a request body that crashes each replica that runs it.
	crashBody = "a content that ends what runs it"
	// crashSendInterval is the time between two sends of crashBody.
	crashSendInterval = 300 * time.Millisecond
	// crashSendTime is how long crashBody is sent.
	crashSendTime = 20 * time.Second
	// maxCrashes is how many replicas a content may crash before nodes reject it, and
	// maxLateCrashes how often undisturbed nodes may forward it later than undisturbedTime
	// after that.
	maxCrashes     = 3
	maxLateCrashes = 3
	// undisturbedTime is how long a node must be undisturbed for time bounds to apply.
	undisturbedTime = 3 * time.Second
	// storeOutageTime is longer than a starting node tries to restore its quota.
	storeOutageTime = 5 * time.Second
	// entryTTL is the time after which the platform removes the entry of a silent replica.
	entryTTL = 3600 * time.Millisecond
)

// replicaRestart is how a crashed replica restarts.
type replicaRestart struct {
	delay time.Duration
	// linkStaysOpen is true if a proxy in front of the replica keeps accepting connections.
	linkStaysOpen bool
}

// randomRestarts returns a function that chooses how replicas restart: after 1 to 6 s, half of
// them behind a proxy that stays.
func randomRestarts(seed uint64) func() replicaRestart {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 16))
	return func() replicaRestart {
		mu.Lock()
		defer mu.Unlock()
		return replicaRestart{delay: time.Second + time.Duration(random.Int64N(int64(5*time.Second))), linkStaysOpen: random.IntN(2) == 0}
	}
}

// disturbance is a period in which a node, or all nodes if node is nil, was subject to a fault.
type disturbance struct {
	node     *gatewayNode
	from, to time.Time
	// processFault is true if the process was restarted or paused.
	processFault bool
}

// whileDisturbed runs do and records that a node, or all nodes if n is nil, was disturbed
// meanwhile.
func (s *gatewaySite) whileDisturbed(n *gatewayNode, do func()) { s.addDisturbance(n, false, do) }

// whileProcessFault is whileDisturbed for restarts and pauses of processes.
func (s *gatewaySite) whileProcessFault(n *gatewayNode, do func()) { s.addDisturbance(n, true, do) }

// addDisturbance runs do and records its duration as a disturbance.
func (s *gatewaySite) addDisturbance(n *gatewayNode, processFault bool, do func()) {
	from := time.Now()
	do()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, disturbance{n, from, time.Now(), processFault})
}

// wasUndisturbed reports whether a node was undisturbed for undisturbedTime before at.
func (s *gatewaySite) wasUndisturbed(node string, at time.Time) bool {
	return !slices.ContainsFunc(s.disturbances, func(d disturbance) bool {
		return (d.node == nil || d.node.settings.Name == node) && d.from.Before(at) && d.to.After(at.Add(-undisturbedTime))
	})
}

// restartCrashedReplica restarts a crashed replica under its ID. If the delay exceeds entryTTL, it
// removes the store entry after entryTTL, as the platform does.
func (s *gatewaySite) restartCrashedReplica(slot *replicaSlot, replica *platformtest.Replica) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	if newest, _ := slot.newest(); replica != newest {
		return
	}
	restart := s.nextRestart()
	if _, l := slot.newest(); !restart.linkStaysOpen {
		l.cutForGood()
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

// stopReplicaRestarts prevents further restarts of crashed replicas.
func (s *gatewaySite) stopReplicaRestarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartsStopped = true
}

// sendCrashingContent sends crashBody to the nodes in turn until stop is closed.
func (s *gatewaySite) sendCrashingContent(stop <-chan struct{}, route string) {
	caller := s.newCaller(0, 0)
	s.sendRoundRobin(stop, crashSendInterval, func(n *gatewayNode) { caller.sendBody(n, route, crashBody) })
}

// crashRuns returns the runs of crashBody in order of time.
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

// checkCrashes checks that crashBody is no longer forwarded once it has crashed maxCrashes replicas
// and nodes had undisturbedTime to agree to reject it, but for maxLateCrashes runs. Only runs that
// check time bounds can fail.
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
	s.t.Logf("the crashing content ran %d times, %d of them late", len(runs), len(late))
	if checksTimeBounds() && len(late) > maxLateCrashes {
		s.t.Errorf("a content that crashed %d replicas ran %d more times later than %s after that, %d allowed; the last for %s\n%s",
			maxCrashes, len(late), undisturbedTime, maxLateCrashes, late[len(late)-1].AttemptID, s.logLinesOf(late[len(late)-1].AttemptID))
	}
}

// rejectedByAllNodes sends crashBody to each node and reports whether all reject it without a run.
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
		"after 1 s":                           {delay: time.Second},
		"after 3 s":                           {delay: 3 * time.Second},
		"after 5 s":                           {delay: 5 * time.Second},
		"after 2 s behind a proxy":            {delay: 2 * time.Second, linkStaysOpen: true},
		"after 5 s behind a proxy":            {delay: 5 * time.Second, linkStaysOpen: true},
		"after 1 to 6 s, some behind a proxy": {},
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
	t.Logf("%d runs until the content was rejected, %d after that", crashesBefore, crashesAfter)
	require.LessOrEqual(t, crashesAfter, maxLateCrashes)
	s.check()
}
