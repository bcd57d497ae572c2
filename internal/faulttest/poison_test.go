package faulttest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/verdict"
)

// crashed returns how many engines have ended.
func (s *site) crashed() int {
	n := 0
	for _, u := range s.engines {
		if u.process.hasEnded() {
			n++
		}
	}
	return n
}

// TestPoisonCrashesAFewEnginesInAll sends a content that crashes every engine
// that runs it again and again: under new IDs, to different nodes, from callers
// that come back, beside other work.
func TestPoisonCrashesAFewEnginesInAll(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 8, seed: 21, poison: "crash-me"})
	for i := range 12 {
		sub := chatCall("please crash-me now")
		sub.DeadlineMs = 6000
		call := s.sendTo(s.nodes[i%len(s.nodes)], sub)
		require.False(t, call.Complete)
	}
	require.LessOrEqual(t, s.crashed(), poison.MaxCrashes)
	last := s.sendTo(s.nodes[3], chatCall("please crash-me now"))
	require.Equal(t, verdict.NotRun, lastVerdict(last), "a convicted content is refused before it runs")
	calls := make([]historycheck.Call, 0, 6)
	for i := range 6 {
		calls = append(calls, s.send(s.newCaller(), chatCall(fmt.Sprint("harmless ", i)), nil))
	}
	requireWhole(t, calls)
}
