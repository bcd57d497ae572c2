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
	// fatalBody is a content that ends each replica that runs it.
	fatalBody = "a content that ends what runs it"
	// fatalPause is the time between two sends of it.
	fatalPause = 300 * time.Millisecond
	// fatalTime is for how long it is sent.
	fatalTime = 20 * time.Second
	// mostFatal is how many replicas a fatal content may end before it is refused, and
	// mostFatalAfter how many nodes in touch may hand it on later than contactTime after.
	mostFatal      = 3
	mostFatalAfter = 3
	// contactTime is how long a node must be undisturbed for bounds of time to hold.
	contactTime = 3 * time.Second
	// storeAway is longer than a node that starts tries to restore its quota.
	storeAway = 5 * time.Second
	// entryLapse is after how long the platform removes the entry of a silent replica.
	entryLapse = 3600 * time.Millisecond
)

// replicaReturn is how a replica that ended comes back.
type replicaReturn struct {
	after time.Duration
	// linkStays is true when a proxy before the replica goes on taking connections.
	linkStays bool
}

// drawnReturns has replicas come back after 1 to 6 s, some behind a proxy that stays.
func drawnReturns(seed uint64) func() replicaReturn {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 16))
	return func() replicaReturn {
		mu.Lock()
		defer mu.Unlock()
		return replicaReturn{after: time.Second + time.Duration(random.Int64N(int64(5*time.Second))), linkStays: random.IntN(2) == 0}
	}
}

// disturbance is a time in which a node was not in touch; of all nodes when node is nil.
type disturbance struct {
	node     *gatewayNode
	from, to time.Time
	// process is true when the process was restarted or stood still.
	process bool
}

// disturb notes that a node, or nil for all, is disturbed while do runs.
func (s *gatewaySite) disturb(n *gatewayNode, do func()) { s.noteDisturbance(n, false, do) }

// disturbProcess is disturb for restarts and pauses.
func (s *gatewaySite) disturbProcess(n *gatewayNode, do func()) { s.noteDisturbance(n, true, do) }

func (s *gatewaySite) noteDisturbance(n *gatewayNode, process bool, do func()) {
	from := time.Now()
	do()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed = append(s.disturbed, disturbance{n, from, time.Now(), process})
}

// inTouch reports whether a node was undisturbed for contactTime before a moment.
func (s *gatewaySite) inTouch(node string, at time.Time) bool {
	return !slices.ContainsFunc(s.disturbed, func(d disturbance) bool {
		return (d.node == nil || d.node.settings.Name == node) && d.from.Before(at) && d.to.After(at.Add(-contactTime))
	})
}

// replicaEnded lets the entry of a replica lapse that a fatal content ended, and
// starts it anew under its ID.
func (s *gatewaySite) replicaEnded(slot *replicaSlot, replica *platformtest.Replica) {
	slot.broken.Lock()
	defer slot.broken.Unlock()
	if newest, _ := slot.newest(); replica != newest {
		return
	}
	back := s.restarts()
	if _, l := slot.newest(); !back.linkStays {
		l.end()
	}
	if back.after > entryLapse {
		time.Sleep(entryLapse)
		s.store.Remove("servers", slot.id)
		back.after -= entryLapse
	}
	time.Sleep(back.after)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.startReplica(slot)
	}
}

// end lets no replica come back any more.
func (s *gatewaySite) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// sendFatal sends the fatal content to the nodes in turn until stop is closed.
func (s *gatewaySite) sendFatal(stop <-chan struct{}, route string) {
	caller := s.newCaller(0, 0)
	s.sendInTurn(stop, fatalPause, func(n *gatewayNode) { caller.sendBody(n, route, fatalBody) })
}

// fatalRuns returns when replicas began to run the fatal content, and for which attempt.
func (s *gatewaySite) fatalRuns() []replicaRun {
	var out []replicaRun
	for _, of := range s.runs() {
		for _, run := range of {
			if run.Body == fatalBody {
				out = append(out, run)
			}
		}
	}
	slices.SortFunc(out, func(a, b replicaRun) int { return a.At.Compare(b.At) })
	return out
}

// checkFatal checks that a fatal content is not sent on once it has ended mostFatal
// replicas and the nodes had the time to agree on it.
func (s *gatewaySite) checkFatal() {
	s.t.Helper()
	runs := s.fatalRuns()
	if len(runs) <= mostFatal {
		return
	}
	node := make(map[string]string)
	for _, a := range s.attempts {
		node[a.id] = a.node
	}
	from := runs[mostFatal-1].At.Add(contactTime)
	late := slices.DeleteFunc(slices.Clone(runs), func(r replicaRun) bool {
		return !r.At.After(from) || !s.inTouch(node[r.AttemptID], r.At)
	})
	s.t.Logf("a content ended %d replicas, %d of them late", len(runs), len(late))
	if judgedByTime() && len(late) > mostFatalAfter {
		s.t.Errorf("a content that ended %d replicas reached %d more later than %s after the third, %d allowed; the last for %s\n%s",
			mostFatal, len(late), contactTime, mostFatalAfter, late[len(late)-1].AttemptID, s.logs(late[len(late)-1].AttemptID))
	}
}

// refusedEverywhere reports whether every node refuses the fatal content now.
func (s *gatewaySite) refusedEverywhere(route string) bool {
	caller := s.newCaller(0, 1)
	for _, n := range s.nodes {
		before := len(s.fatalRuns())
		if a := caller.sendBody(n, route, fatalBody); a.status != http.StatusServiceUnavailable || len(s.fatalRuns()) > before {
			return false
		}
	}
	return true
}

func TestAContentThatEndsItsReplicasIsRefusedWhateverTheyNeedToComeBack(t *testing.T) {
	for name, back := range map[string]replicaReturn{
		"after 1 s":                   {after: time.Second},
		"after 3 s":                   {after: 3 * time.Second},
		"after 5 s":                   {after: 5 * time.Second},
		"after 2 s behind a proxy":    {after: 2 * time.Second, linkStays: true},
		"after 5 s behind a proxy":    {after: 5 * time.Second, linkStays: true},
		"after 1 to 6 s, some behind": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a site waits for most of its time
			s := startGatewaySite(t, gatewayNodes, 8)
			s.restarts = drawnReturns(16)
			if back.after > 0 {
				s.restarts = func() replicaReturn { return back }
			}
			s.sendFatalFor(fatalTime)
			require.Eventually(t, func() bool { return s.refusedEverywhere("/again/") }, gatewayReadyLimit, 100*time.Millisecond)
			s.end()
			s.check()
		})
	}
}

func TestAContentThatEndsItsReplicasStaysRefusedWhenAllNodesStartAnew(t *testing.T) {
	t.Parallel() // a site waits for most of its time
	s := startGatewaySite(t, gatewayNodes, 8)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { s.sendFatal(stop, "/again/") })
	require.Eventually(t, func() bool { return s.refusedEverywhere("/again/") }, 2*gatewayReadyLimit, 100*time.Millisecond)
	convicted := len(s.fatalRuns())
	for round := range 4 {
		time.Sleep(contactTime)
		if round%2 == 1 {
			s.store.SetMode(platformtest.StoreBusy)
		}
		s.killAll(0)
		if round%2 == 1 {
			time.Sleep(storeAway)
			s.store.SetMode(platformtest.StoreHealthy)
		}
		s.awaitService()
		time.Sleep(contactTime)
		require.Eventually(t, func() bool { return s.refusedEverywhere("/again/") }, gatewayReadyLimit, 100*time.Millisecond)
	}
	close(stop)
	sending.Wait()
	s.end()
	again := len(s.fatalRuns()) - convicted
	t.Logf("%d replicas ended until the content was refused, %d after that", convicted, again)
	require.LessOrEqual(t, again, mostFatalAfter)
	s.check()
}
