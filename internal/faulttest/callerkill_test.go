package faulttest

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/verdict"
)

// slowServiceDelay is how long a call of the plain service takes in tests that inject a
// fault during the call.
const slowServiceDelay = 1500 * time.Millisecond

// TestKilledCallerComesBackToItsRequests kills a caller's process while it reads a stream and
// waits for a non-idempotent call. The restarted process knows only its journal and must
// still receive both answers without a second run of the call.
func TestKilledCallerComesBackToItsRequests(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 16, serviceDelay: slowServiceDelay})
	c := s.newCaller()
	stream := longStreamSubmission("caller killed")
	stream.ID = callerapi.NewOptString(s.newRequestID(s.nodes[0], s.nodes[1]))
	hold := s.dockHoldOf("dock 1", s.nodes[1], s.nodes[2])
	var streamed, held historycheck.Call
	var calls sync.WaitGroup
	begun := make(chan struct{})
	var once sync.Once
	calls.Go(func() { streamed = s.send(c, stream, func(int) { once.Do(func() { close(begun) }) }) })
	<-begun
	calls.Go(func() { held = s.send(c, hold, nil) })
	s.eventually("the hold runs", func() bool { return s.startCount(hold.ID.Value) == 1 })
	c.kill()
	require.Zero(t, s.doneCount(hold.ID.Value), "the caller was not killed during the call")
	c.restart()
	calls.Wait()
	for _, call := range []historycheck.Call{streamed, held} {
		require.True(t, call.Complete, "%s: %+v", call.Name, call.Refusals)
		require.Equal(t, 1, call.Restarts, "%s ended before the caller was killed", call.Name)
		require.Len(t, call.IDs, 1)
	}
	require.Equal(t, 1, s.startCount(hold.ID.Value))
	s.checkHistory()
}

// TestCallerAndHomeKilledTogether kills the caller and the home during a non-idempotent call.
// Only the ID in the journal and the witness are left. The call must not run twice, and the
// caller must learn that it may have run.
func TestCallerAndHomeKilledTogether(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 17, serviceDelay: slowServiceDelay})
	home, witness := s.nodes[0], s.nodes[1]
	c := s.newCaller()
	hold := s.dockHoldOf("dock 1", home, witness)
	hold.DeadlineMs = 6000
	var held historycheck.Call
	var calls sync.WaitGroup
	calls.Go(func() { held = s.send(c, hold, nil) })
	s.eventually("the hold runs", func() bool { return s.startCount(hold.ID.Value) == 1 })
	c.kill()
	s.killNode(home)
	require.Zero(t, s.doneCount(hold.ID.Value), "the caller and the home were not killed during the call")
	c.restart()
	calls.Wait()
	require.Equal(t, 1, s.startCount(hold.ID.Value))
	require.Equal(t, 1, held.Restarts)
	require.Equal(t, verdict.MayHaveRun, held.Verdict)
	s.checkHistory()
}
