package faulttest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// TestSuspectsAreKeptApart has a content crash engines on which harmless streams
// run. Each of them becomes a suspect by the crash it was caught in, so none is
// caught in a second one, and all end whole.
func TestSuspectsAreKeptApart(t *testing.T) {
	const marker = "crash-me"
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 6, seed: 22, poison: marker})
	calls := s.streams(18, func() {
		for i := range 6 {
			sub := chatCall("please " + marker + " now")
			sub.DeadlineMs = 6000
			require.False(t, s.sendTo(s.nodes[i%len(s.nodes)], sub).Complete)
		}
	})
	requireWhole(t, calls)
	require.Positive(t, s.crashed())
	require.LessOrEqual(t, s.crashed(), poison.MaxCrashes)
	caught := s.caught()
	bystanders := 0
	for _, call := range calls {
		for _, id := range call.IDs {
			bystanders += len(caught[id])
			require.LessOrEqual(t, len(caught[id]), 1, "%s was caught in the crashes of %v", call.Name, caught[id])
		}
	}
	require.Positive(t, bystanders, "no stream ran where an engine crashed")
	t.Logf("%d crashes caught %d of %d streams, none twice", s.crashed(), bystanders, len(calls))
	s.check()
}

// caught returns the engines that crashed while they ran each request, the one
// that crashed them included.
func (s *site) caught() map[string][]string {
	out := make(map[string][]string)
	for _, u := range s.engines {
		entries, err := history.Read(u.role.Engine.HistoryPath)
		require.NoError(s.t, err)
		for _, id := range atCrash(entries) {
			out[id] = append(out[id], u.name)
		}
	}
	return out
}

// atCrash returns what was running when the history ends in a crash.
func atCrash(entries []history.Entry) []string {
	running := make(map[string]bool)
	for _, e := range entries {
		switch e.Event {
		case history.EventStart:
			running[e.RequestID] = true
		case history.EventDone, history.EventExport:
			delete(running, e.RequestID)
		case history.EventCrash:
			var out []string
			for id := range running {
				out = append(out, id)
			}
			return out
		case history.EventLeaving, history.EventRefused, history.EventOrder, history.EventFenced:
		}
	}
	return nil
}
