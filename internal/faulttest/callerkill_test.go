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

// slowService is how long a call of a plain service takes when a test acts during it.
const slowService = 1500 * time.Millisecond

// TestKilledCallerComesBackToItsRequests kills a caller's process while it reads
// a stream and waits for a call that must not be repeated; its next process has
// nothing but the journal.
func TestKilledCallerComesBackToItsRequests(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 16, serviceDelay: slowService})
	c := s.newCaller()
	stream := longStream("caller killed")
	stream.ID = callerapi.NewOptString(s.newID(s.nodes[0], s.nodes[1]))
	hold := s.holdOf("dock 1", s.nodes[1], s.nodes[2])
	var streamed, held historycheck.Call
	var calls sync.WaitGroup
	begun := make(chan struct{})
	var once sync.Once
	calls.Go(func() { streamed = s.send(c, stream, func(int) { once.Do(func() { close(begun) }) }) })
	<-begun
	calls.Go(func() { held = s.send(c, hold, nil) })
	s.eventually("the hold runs", func() bool { return s.starts(hold.ID.Value) == 1 })
	c.kill()
	require.Zero(t, s.dones(hold.ID.Value), "the caller was not killed during the call")
	c.restart()
	calls.Wait()
	for _, call := range []historycheck.Call{streamed, held} {
		require.True(t, call.Complete, "%s: %+v", call.Name, call.Refusals)
		require.Equal(t, 1, call.Restarts, "%s ended before the caller was killed", call.Name)
		require.Len(t, call.IDs, 1)
	}
	require.Equal(t, 1, s.starts(hold.ID.Value))
	s.check()
}

// TestCallerAndHomeKilledTogether leaves only the ID in the journal and the witness.
func TestCallerAndHomeKilledTogether(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 3, engines: 3, seed: 17, serviceDelay: slowService})
	home, witness := s.nodes[0], s.nodes[1]
	c := s.newCaller()
	hold := s.holdOf("dock 1", home, witness)
	hold.DeadlineMs = 6000
	var held historycheck.Call
	var calls sync.WaitGroup
	calls.Go(func() { held = s.send(c, hold, nil) })
	s.eventually("the hold runs", func() bool { return s.starts(hold.ID.Value) == 1 })
	c.kill()
	s.killNode(home)
	require.Zero(t, s.dones(hold.ID.Value), "they were not killed during the call")
	c.restart()
	calls.Wait()
	require.Equal(t, 1, s.starts(hold.ID.Value))
	require.Equal(t, 1, held.Restarts)
	require.Equal(t, verdict.MayHaveRun, held.Verdict)
	s.check()
}
