package faulttest

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/standin/service"
	"mangoledge.example/mangoledge/internal/testpause"
	"mangoledge.example/mangoledge/internal/verdict"
)

// longStreamSubmission returns an idempotent chat request whose stream takes several seconds.
func longStreamSubmission(input string) callerapi.Submission {
	sub := chatSubmission(input)
	sub.MaxTokens = callerapi.NewOptInt(400)
	return sub
}

// dockHoldOf returns a non-idempotent call of the plain service with the given home and witness.
func (s *site) dockHoldOf(input string, home, witness *node) callerapi.Submission {
	sub := dockHoldSubmission(input)
	sub.ID = callerapi.NewOptString(s.newRequestID(home, witness))
	return sub
}

// lastVerdict returns the verdict of the last refusal, or Ran if the call is complete or was
// never refused.
func lastVerdict(call historycheck.Call) verdict.Verdict {
	if call.Complete || len(call.Refusals) == 0 {
		return verdict.Ran
	}
	return call.Refusals[len(call.Refusals)-1].Verdict
}

// sendToBoth sends one request to two nodes at once.
func (s *site) sendToBoth(sub callerapi.Submission, a, b *node) [2]historycheck.Call {
	var out [2]historycheck.Call
	var wg sync.WaitGroup
	wg.Go(func() { out[0] = s.sendTo(a, sub) })
	wg.Go(func() { out[1] = s.sendTo(b, sub) })
	wg.Wait()
	return out
}

func TestResendToTwoNodesAtOnceRunsOnce(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 1})
	for i := range 20 {
		sub := s.dockHoldOf(fmt.Sprint("dock ", i), s.nodes[0], s.nodes[1])
		first := s.nodes[0]
		if i%2 == 1 {
			first = s.nodes[3]
		}
		calls := s.sendToBoth(sub, first, s.nodes[2])
		require.Equal(t, 1, s.startCount(sub.ID.Value))
		require.True(t, calls[0].Complete || calls[1].Complete)
	}
	s.checkHistory()
}

func TestResendWhileTheHomeIsOutOfReachRunsOnce(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 14})
	home, witness := s.nodes[0], s.nodes[1]
	var holds []callerapi.Submission
	for i := range 20 {
		holds = append(holds, s.dockHoldOf(fmt.Sprint("dock ", i), home, witness))
	}
	// The home can still reach its witness, but no other node can reach the home, so that the
	// others take over its requests.
	fault := s.beginFault(home.peerLink.fault)
	home.peerLink.cut()
	for _, hold := range holds {
		calls := s.sendToBoth(hold, home, s.nodes[2])
		require.LessOrEqual(t, s.startCount(hold.ID.Value), 1)
		for _, call := range calls {
			require.NotEqual(t, verdict.NotRun, lastVerdict(call))
		}
	}
	s.endFault(fault)
	s.checkHistory()
}

func TestHomeKilledRunsOnceAndStreamsGoOn(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 2})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	stream := longStreamSubmission("home killed")
	stream.ID = callerapi.NewOptString(s.newRequestID(home, witness))
	hold := s.dockHoldOf("dock 1", home, witness)
	var wg sync.WaitGroup
	var streamed, first historycheck.Call
	wg.Go(func() {
		streamed = s.send(s.newCaller(), stream, onceAtToken(100, func() {
			wg.Go(func() { first = s.sendTo(home, hold) })
			time.Sleep(serviceDelay / 2)
			s.killNode(home)
		}))
	})
	wg.Wait()
	second := s.sendTo(third, hold)
	require.True(t, streamed.Complete, "%+v", streamed.Refusals)
	require.LessOrEqual(t, s.startCount(hold.ID.Value), 1)
	t.Logf("hold: first complete %t, second %s after %d starts", first.Complete, lastVerdict(second), s.startCount(hold.ID.Value))
	s.checkHistory()
}

// TestHomeAndWitnessKilledTogether kills both nodes that know a stream; only its caller still
// knows it, and the stream must be completed.
func TestHomeAndWitnessKilledTogether(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 3, seed: 24})
	home, witness := s.nodes[0], s.nodes[1]
	stream := longStreamSubmission("home and witness killed")
	stream.ID = callerapi.NewOptString(s.newRequestID(home, witness))
	call := s.send(s.newCaller(), stream, onceAtToken(100, func() {
		s.killNode(home)
		s.killNode(witness)
	}))
	require.True(t, call.Complete, "%+v", call.Refusals)
	s.checkHistory()
}

func TestWitnessKilledIsNeverNotRunAfterARun(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 3})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	before := s.dockHoldOf("dock 1", home, witness)
	require.True(t, s.sendTo(home, before).Complete)
	stream := longStreamSubmission("witness killed")
	stream.ID = callerapi.NewOptString(s.newRequestID(home, witness))
	late := s.dockHoldOf("dock 2", home, witness)
	streamed := s.send(s.newCaller(), stream, onceAtToken(100, func() { s.killNode(witness) }))
	require.True(t, streamed.Complete)
	again := s.sendTo(third, before)
	require.NotEqual(t, verdict.NotRun, lastVerdict(again))
	refused := s.sendTo(home, late)
	require.False(t, refused.Complete, "the witness that would have granted it was killed")
	require.Equal(t, verdict.MayHaveRun, lastVerdict(refused))
	require.Zero(t, s.startCount(late.ID.Value))
	require.True(t, s.send(s.newCaller(), dockHoldSubmission("dock 3"), nil).Complete, "a fresh prefix names another witness")
	s.checkHistory()
}

// TestWitnessKilledEndsItsRequests counts the refusals of requests whose witness was killed.
// Until the nodes detect the death, a caller resends the request when a refusal tells it to;
// after that, the first refusal is final.
func TestWitnessKilledEndsItsRequests(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 23})
	home, witness := s.nodes[0], s.nodes[1]
	dead := s.incarnation(witness)
	unnoticed := s.dockHoldOf("dock 1", home, witness)
	noticed := s.dockHoldOf("dock 2", home, witness)
	s.killNode(witness)
	first := s.send(s.newCaller(), unnoticed, nil)
	for _, n := range []*node{home, s.nodes[2], s.nodes[3]} {
		s.waitMemberState(n, dead, membership.StateDead)
	}
	second := s.send(s.newCaller(), noticed, nil)
	for _, call := range []historycheck.Call{first, second} {
		require.False(t, call.Complete)
		require.Equal(t, verdict.MayHaveRun, lastVerdict(call))
		require.Zero(t, s.startCount(call.IDs[0]))
		t.Logf("%s: %d refusals in %s", call.Name, len(call.Refusals), call.Finished.Sub(call.Started))
	}
	require.Len(t, second.Refusals, 1, "all nodes knew of the death")
	require.Less(t, first.Finished.Sub(first.Started), callDeadline/2, "the death is detected long before the deadline")
	s.checkHistory()
}

func TestHomeStoppedBetweenGrantAndDispatch(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 4})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	hold := s.dockHoldOf("dock 1", home, witness)
	s.holdProcess(home, testpause.Granted)
	var wg sync.WaitGroup
	wg.Go(func() { s.sendTo(home, hold) })
	s.waitProcessHeld(home, testpause.Granted)
	fault := s.beginFault(home.processFault(historycheck.FaultPause))
	require.NoError(t, home.process.suspend())
	second := s.sendTo(third, hold)
	require.False(t, second.Complete)
	require.NotEqual(t, verdict.NotRun, lastVerdict(second))
	require.Zero(t, s.startCount(hold.ID.Value), "the home was not suspended before the dispatch")
	s.releaseProcess(home, testpause.Granted)
	home.process.signal(syscall.SIGCONT)
	s.endFault(fault)
	wg.Wait()
	require.Equal(t, 1, s.startCount(hold.ID.Value), "the home continued with its grant")
	s.checkHistory()
}

func TestSilentUpstreamIsNeverRunTwice(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 5})
	for _, c := range []struct {
		name   string
		faults service.Faults
		starts int
	}{
		{"before the service has the request", service.Faults{SilentBefore: 1}, 0},
		{"after the service has the request", service.Faults{SilentBefore: -1, SilentAfter: 1}, 1},
	} {
		s.beginFault(s.services[0].link.fault)
		s.injectStandinFaults(s.services[0], c.faults)
		hold := s.dockHoldOf(c.name, s.nodes[0], s.nodes[1])
		hold.DeadlineMs = 4000
		calls := s.sendToBoth(hold, s.nodes[0], s.nodes[2])
		for _, call := range calls {
			require.False(t, call.Complete, c.name)
			require.NotEqual(t, verdict.NotRun, lastVerdict(call), c.name)
		}
		require.Equal(t, c.starts, s.startCount(hold.ID.Value), c.name)
	}
	s.checkHistory()
}

func TestSilentEngineConnectionIsReplaced(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 6})
	call := s.send(s.newCaller(), longStreamSubmission("silent engine"), onceAtToken(100, func() {
		for _, u := range s.engines {
			fault := s.beginFault(u.link.fault)
			s.injectStandinFaults(u, engine.Faults{Silent: true})
			s.endFault(fault)
		}
	}))
	require.True(t, call.Complete)
	s.checkHistory()
}

func TestSilentLinksOfTheHomeAreReplaced(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 3, seed: 15})
	home, witness := s.nodes[0], s.nodes[1]
	stream := longStreamSubmission("silent home")
	stream.ID = callerapi.NewOptString(s.newRequestID(home, witness))
	call := s.send(s.newCaller(), stream, onceAtToken(100, func() {
		s.beginFault(home.processFault(historycheck.FaultLink))
		require.NoError(t, home.callerLink.blackhole())
		require.NoError(t, home.peerLink.blackhole())
	}))
	require.True(t, call.Complete)
	s.checkHistory()
}

// onceAtToken returns a token callback that calls act when the token at offset arrives for the
// first time.
func onceAtToken(offset int, act func()) func(int) {
	var once sync.Once
	return func(at int) {
		if at == offset {
			once.Do(act)
		}
	}
}

// runStreams sends count streams at once, calls act when each has received a token or ended,
// and returns the calls.
func (s *site) runStreams(count int, act func()) []historycheck.Call {
	out := make([]historycheck.Call, count)
	var begun, done sync.WaitGroup
	begun.Add(count)
	for i, c := range s.newCallers(count) {
		done.Go(func() {
			var once sync.Once
			out[i] = s.send(c, longStreamSubmission(fmt.Sprint("stream ", i)), func(int) { once.Do(begun.Done) })
			once.Do(begun.Done)
		})
	}
	begun.Wait()
	act()
	done.Wait()
	return out
}

// requireComplete fails the test unless every call has a complete answer.
func requireComplete(t *testing.T, calls []historycheck.Call) {
	t.Helper()
	for _, call := range calls {
		require.True(t, call.Complete, "%s: %+v", call.Name, call.Refusals)
	}
}

func TestUpstreamReclaimedMidStream(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 7})
	calls := s.runStreams(12, func() { s.reclaimUpstream(s.engines[0], 2*time.Second) })
	requireComplete(t, calls)
	s.checkHistory()
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 8})
	calls := s.runStreams(12, func() {
		require.True(t, s.stopNode(s.nodes[1]), "the node did not end")
	})
	requireComplete(t, calls)
	s.checkHistory()
}

func TestFailureDomainAtOnce(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 6, services: 3, engines: 6, seed: 9})
	calls := s.runStreams(18, func() { s.reclaimDomain(domainName(0), 3*time.Second) })
	requireComplete(t, calls)
	require.True(t, s.send(s.newCaller(), dockHoldSubmission("after the reclaim"), nil).Complete)
	s.checkHistory()
}

// reclaimDomain reclaims every host of a failure domain at once, without replacement.
func (s *site) reclaimDomain(domain string, notice time.Duration) {
	s.forEachInDomain(domain,
		func(u *upstream) { s.reclaimUpstream(u, notice) },
		func(n *node) { s.reclaimNode(n, notice) })
}

// forEachInDomain calls the functions for all upstreams and nodes of a failure domain at once
// and waits for them.
func (s *site) forEachInDomain(domain string, onUpstream func(*upstream), onNode func(*node)) {
	var wg sync.WaitGroup
	for _, u := range s.upstreams() {
		if u.domain == domain {
			wg.Go(func() { onUpstream(u) })
		}
	}
	for _, n := range s.nodes {
		if string(n.settings.FailureDomain) == domain {
			wg.Go(func() { onNode(n) })
		}
	}
	wg.Wait()
}

func TestEntryHostReclaimedMidStream(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 10})
	calls := s.runStreams(12, func() { s.reclaimNode(s.nodes[2], 2*time.Second) })
	requireComplete(t, calls)
	s.checkHistory()
}

// TestKilledPartwayThroughHandOver kills a witness at each step of its hand-over; no request
// may run twice.
func TestKilledPartwayThroughHandOver(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 11})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	for _, point := range []testpause.Point{
		testpause.HandOverOffered, testpause.HandOverClosed, testpause.HandOverPartSent, testpause.HandOverInstalled,
	} {
		var holds []callerapi.Submission
		for j := range 10 {
			hold := s.dockHoldOf(fmt.Sprintf("%s dock %d", point, j), home, witness)
			if j%2 == 0 {
				require.True(t, s.sendTo(home, hold).Complete)
			}
			holds = append(holds, hold)
		}
		s.holdProcess(witness, point)
		fault := s.beginFault(witness.processFault(historycheck.FaultKill))
		witness.process.signal(syscall.SIGTERM)
		s.waitProcessHeld(witness, point)
		witness.process.kill()
		s.endFault(fault)
		for _, hold := range holds {
			s.sendToBoth(hold, home, third)
			require.LessOrEqual(t, s.startCount(hold.ID.Value), 1)
		}
		s.startNode(witness)
		s.waitReady()
	}
	s.checkHistory()
}
