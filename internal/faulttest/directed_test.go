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

// longStream is a stream of several seconds.
func longStream(input string) callerapi.Submission {
	sub := chatCall(input)
	sub.MaxTokens = callerapi.NewOptInt(400)
	return sub
}

// holdOf is a hold whose home and witness are given.
func (s *site) holdOf(input string, home, witness *node) callerapi.Submission {
	sub := holdCall(input)
	sub.ID = callerapi.NewOptString(s.newID(home, witness))
	return sub
}

// lastVerdict returns what the caller was told last.
func lastVerdict(call historycheck.Call) verdict.Verdict {
	if call.Complete || len(call.Refusals) == 0 {
		return verdict.Ran
	}
	return call.Refusals[len(call.Refusals)-1].Verdict
}

// both sends one request to two nodes at once.
func (s *site) both(sub callerapi.Submission, a, b *node) [2]historycheck.Call {
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
		sub := s.holdOf(fmt.Sprint("dock ", i), s.nodes[0], s.nodes[1])
		first := s.nodes[0]
		if i%2 == 1 {
			first = s.nodes[3]
		}
		calls := s.both(sub, first, s.nodes[2])
		require.Equal(t, 1, s.starts(sub.ID.Value))
		require.True(t, calls[0].Complete || calls[1].Complete)
	}
	s.check()
}

func TestResendWhileTheHomeIsOutOfReachRunsOnce(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 14})
	home, witness := s.nodes[0], s.nodes[1]
	var holds []callerapi.Submission
	for i := range 20 {
		holds = append(holds, s.holdOf(fmt.Sprint("dock ", i), home, witness))
	}
	// The home reaches its witness, and nobody reaches the home: the others take its requests over.
	at := s.fault(home.peers.fault)
	home.peers.cut()
	for _, hold := range holds {
		calls := s.both(hold, home, s.nodes[2])
		require.LessOrEqual(t, s.starts(hold.ID.Value), 1)
		for _, call := range calls {
			require.NotEqual(t, verdict.NotRun, lastVerdict(call))
		}
	}
	s.over(at)
	s.check()
}

func TestHomeKilledRunsOnceAndStreamsGoOn(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 2})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	stream := longStream("home killed")
	stream.ID = callerapi.NewOptString(s.newID(home, witness))
	hold := s.holdOf("dock 1", home, witness)
	var wg sync.WaitGroup
	var streamed, first historycheck.Call
	wg.Go(func() {
		streamed = s.send(s.newCaller(), stream, atToken(100, func() {
			wg.Go(func() { first = s.sendTo(home, hold) })
			time.Sleep(serviceDelay / 2)
			s.killNode(home)
		}))
	})
	wg.Wait()
	second := s.sendTo(third, hold)
	require.True(t, streamed.Complete, "%+v", streamed.Refusals)
	require.LessOrEqual(t, s.starts(hold.ID.Value), 1)
	t.Logf("hold: first whole %t, second %s after %d starts", first.Complete, lastVerdict(second), s.starts(hold.ID.Value))
	s.check()
}

// TestHomeAndWitnessKilledTogether leaves nobody who knows a stream but its caller.
func TestHomeAndWitnessKilledTogether(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 3, seed: 24})
	home, witness := s.nodes[0], s.nodes[1]
	stream := longStream("home and witness killed")
	stream.ID = callerapi.NewOptString(s.newID(home, witness))
	call := s.send(s.newCaller(), stream, atToken(100, func() {
		s.killNode(home)
		s.killNode(witness)
	}))
	require.True(t, call.Complete, "%+v", call.Refusals)
	s.check()
}

func TestWitnessKilledIsNeverNotRunAfterARun(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 3})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	before := s.holdOf("dock 1", home, witness)
	require.True(t, s.sendTo(home, before).Complete)
	stream := longStream("witness killed")
	stream.ID = callerapi.NewOptString(s.newID(home, witness))
	late := s.holdOf("dock 2", home, witness)
	streamed := s.send(s.newCaller(), stream, atToken(100, func() { s.killNode(witness) }))
	require.True(t, streamed.Complete)
	again := s.sendTo(third, before)
	require.NotEqual(t, verdict.NotRun, lastVerdict(again))
	refused := s.sendTo(home, late)
	require.False(t, refused.Complete, "the witness that would have granted it is gone")
	require.Equal(t, verdict.MayHaveRun, lastVerdict(refused))
	require.Zero(t, s.starts(late.ID.Value))
	require.True(t, s.send(s.newCaller(), holdCall("dock 3"), nil).Complete, "a fresh prefix names another witness")
	s.check()
}

// TestWitnessKilledEndsItsRequests counts how often a caller sends a request whose
// witness was killed: until the death is noticed it comes back when it is told,
// and from then on the first answer is the last.
func TestWitnessKilledEndsItsRequests(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 23})
	home, witness := s.nodes[0], s.nodes[1]
	dead := s.incarnation(witness)
	unnoticed := s.holdOf("dock 1", home, witness)
	noticed := s.holdOf("dock 2", home, witness)
	s.killNode(witness)
	first := s.send(s.newCaller(), unnoticed, nil)
	for _, n := range []*node{home, s.nodes[2], s.nodes[3]} {
		s.waitState(n, dead, membership.StateDead)
	}
	second := s.send(s.newCaller(), noticed, nil)
	for _, call := range []historycheck.Call{first, second} {
		require.False(t, call.Complete)
		require.Equal(t, verdict.MayHaveRun, lastVerdict(call))
		require.Zero(t, s.starts(call.IDs[0]))
		t.Logf("%s: %d refusals in %s", call.Name, len(call.Refusals), call.Finished.Sub(call.Started))
	}
	require.Len(t, second.Refusals, 1, "the death was known to all nodes")
	require.Less(t, first.Finished.Sub(first.Started), callDeadline/2, "the death was noticed long before the deadline")
	s.check()
}

func TestHomeStoppedBetweenGrantAndDispatch(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 4})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	hold := s.holdOf("dock 1", home, witness)
	s.hold(home, testpause.Granted)
	var wg sync.WaitGroup
	wg.Go(func() { s.sendTo(home, hold) })
	s.waitHeld(home, testpause.Granted)
	at := s.fault(home.faultOf(historycheck.FaultPause))
	require.NoError(t, home.process.stop())
	second := s.sendTo(third, hold)
	require.False(t, second.Complete)
	require.NotEqual(t, verdict.NotRun, lastVerdict(second))
	require.Zero(t, s.starts(hold.ID.Value), "the home was not stopped before the dispatch")
	s.release(home, testpause.Granted)
	home.process.signal(syscall.SIGCONT)
	s.over(at)
	wg.Wait()
	require.Equal(t, 1, s.starts(hold.ID.Value), "the granted holder went on")
	s.check()
}

func TestSilentUpstreamIsNeverRunTwice(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 5})
	for _, c := range []struct {
		name   string
		faults service.Faults
		starts int
	}{
		{"before it had the request", service.Faults{SilentBefore: 1}, 0},
		{"after it had the request", service.Faults{SilentBefore: -1, SilentAfter: 1}, 1},
	} {
		s.fault(s.services[0].link.fault)
		s.order(s.services[0], c.faults)
		hold := s.holdOf(c.name, s.nodes[0], s.nodes[1])
		hold.DeadlineMs = 4000
		calls := s.both(hold, s.nodes[0], s.nodes[2])
		for _, call := range calls {
			require.False(t, call.Complete, c.name)
			require.NotEqual(t, verdict.NotRun, lastVerdict(call), c.name)
		}
		require.Equal(t, c.starts, s.starts(hold.ID.Value), c.name)
	}
	s.check()
}

func TestSilentEngineConnectionIsReplaced(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 6})
	call := s.send(s.newCaller(), longStream("silent engine"), atToken(100, func() {
		for _, u := range s.engines {
			at := s.fault(u.link.fault)
			s.order(u, engine.Faults{Silent: true})
			s.over(at)
		}
	}))
	require.True(t, call.Complete)
	s.check()
}

func TestSilentLinksOfTheHomeAreReplaced(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 3, seed: 15})
	home, witness := s.nodes[0], s.nodes[1]
	stream := longStream("silent home")
	stream.ID = callerapi.NewOptString(s.newID(home, witness))
	call := s.send(s.newCaller(), stream, atToken(100, func() {
		s.fault(home.faultOf(historycheck.FaultLink))
		require.NoError(t, home.callers.silence())
		require.NoError(t, home.peers.silence())
	}))
	require.True(t, call.Complete)
	s.check()
}

// atToken returns what calls act when a stream's token at offset comes for the first time.
func atToken(offset int, act func()) func(int) {
	var once sync.Once
	return func(at int) {
		if at == offset {
			once.Do(act)
		}
	}
}

// streams runs count streams at once, calls act once all have tokens, and returns the calls.
func (s *site) streams(count int, act func()) []historycheck.Call {
	out := make([]historycheck.Call, count)
	var begun, done sync.WaitGroup
	begun.Add(count)
	for i, c := range s.newCallers(count) {
		done.Go(func() {
			var once sync.Once
			out[i] = s.send(c, longStream(fmt.Sprint("stream ", i)), func(int) { once.Do(begun.Done) })
			once.Do(begun.Done)
		})
	}
	begun.Wait()
	act()
	done.Wait()
	return out
}

func requireWhole(t *testing.T, calls []historycheck.Call) {
	t.Helper()
	for _, call := range calls {
		require.True(t, call.Complete, "%s: %+v", call.Name, call.Refusals)
	}
}

func TestUpstreamReclaimedMidStream(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 7})
	calls := s.streams(12, func() { s.reclaimUpstream(s.engines[0], 2*time.Second) })
	requireWhole(t, calls)
	s.check()
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 8})
	calls := s.streams(12, func() {
		require.True(t, s.stopNode(s.nodes[1]), "the node did not end")
	})
	requireWhole(t, calls)
	s.check()
}

func TestFailureDomainAtOnce(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 6, services: 3, engines: 6, seed: 9})
	calls := s.streams(18, func() { s.reclaimDomain(domainName(0), 3*time.Second) })
	requireWhole(t, calls)
	require.True(t, s.send(s.newCaller(), holdCall("after the reclaim"), nil).Complete)
	s.check()
}

// reclaimDomain reclaims every host of a failure domain at once.
func (s *site) reclaimDomain(domain string, notice time.Duration) {
	s.inDomain(domain,
		func(u *upstream) { s.reclaimUpstream(u, notice) },
		func(n *node) { s.reclaimNode(n, notice) })
}

// inDomain acts on all upstreams and nodes of a failure domain at once, and waits.
func (s *site) inDomain(domain string, onUpstream func(*upstream), onNode func(*node)) {
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
	calls := s.streams(12, func() { s.reclaimNode(s.nodes[2], 2*time.Second) })
	requireWhole(t, calls)
	s.check()
}

// TestKilledPartwayThroughHandOver kills a witness at each step of its hand-over.
func TestKilledPartwayThroughHandOver(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 11})
	home, witness, third := s.nodes[0], s.nodes[1], s.nodes[2]
	for _, point := range []testpause.Point{
		testpause.HandOverOffered, testpause.HandOverClosed, testpause.HandOverPartSent, testpause.HandOverInstalled,
	} {
		var holds []callerapi.Submission
		for j := range 10 {
			hold := s.holdOf(fmt.Sprintf("%s dock %d", point, j), home, witness)
			if j%2 == 0 {
				require.True(t, s.sendTo(home, hold).Complete)
			}
			holds = append(holds, hold)
		}
		s.hold(witness, point)
		at := s.fault(witness.faultOf(historycheck.FaultKill))
		witness.process.signal(syscall.SIGTERM)
		s.waitHeld(witness, point)
		witness.process.kill()
		s.over(at)
		for _, hold := range holds {
			s.both(hold, home, third)
			require.LessOrEqual(t, s.starts(hold.ID.Value), 1)
		}
		s.startNode(witness)
		s.waitReady()
	}
	s.check()
}
