package faulttest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/verdict"
)

// endedEngineCount returns the number of engines whose processes have ended.
func (s *site) endedEngineCount() int {
	n := 0
	for _, u := range s.engines {
		if u.process.hasEnded() {
			n++
		}
	}
	return n
}

// TestPoisonCrashesAFewEnginesInAll repeatedly sends a content that crashes every engine that
// runs it, under new IDs and to different nodes. At most poison.MaxCrashes engines may crash in
// all, and harmless requests must still be answered.
func TestPoisonCrashesAFewEnginesInAll(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 8, seed: 21, poison: "crash-me"})
	for i := range 12 {
		sub := chatSubmission("please crash-me now")
		sub.DeadlineMs = 6000
		call := s.sendTo(s.nodes[i%len(s.nodes)], sub)
		require.False(t, call.Complete)
	}
	require.LessOrEqual(t, s.endedEngineCount(), poison.MaxCrashes)
	last := s.sendTo(s.nodes[3], chatSubmission("please crash-me now"))
	require.Equal(t, verdict.NotRun, lastVerdict(last), "quarantined content is refused before it runs")
	calls := make([]historycheck.Call, 0, 6)
	for i := range 6 {
		calls = append(calls, s.send(s.newCaller(), chatSubmission(fmt.Sprint("harmless ", i)), nil))
	}
	requireComplete(t, calls)
}
