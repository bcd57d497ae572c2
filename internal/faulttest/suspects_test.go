package faulttest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// TestSuspectsAreKeptApart crashes engines with poisonous content while harmless streams run on
// them. Each stream that runs on a crashing engine becomes a suspect, so no stream may be
// affected by a second crash, and all must be completed.
func TestSuspectsAreKeptApart(t *testing.T) {
	const marker = "crash-me"
	s := startSite(t, siteOptions{nodes: 4, services: 1, engines: 6, seed: 22, poison: marker})
	calls := s.runStreams(18, func() {
		for i := range 6 {
			sub := chatSubmission("please " + marker + " now")
			sub.DeadlineMs = 6000
			require.False(t, s.sendTo(s.nodes[i%len(s.nodes)], sub).Complete)
		}
	})
	requireComplete(t, calls)
	require.Positive(t, s.endedEngineCount())
	require.LessOrEqual(t, s.endedEngineCount(), poison.MaxCrashes)
	crashes := s.requestsAtCrashes()
	interrupted := 0
	for _, call := range calls {
		for _, id := range call.IDs {
			interrupted += len(crashes[id])
			require.LessOrEqual(t, len(crashes[id]), 1, "%s was running at the crashes of %v", call.Name, crashes[id])
		}
	}
	require.Positive(t, interrupted, "no stream ran where an engine crashed")
	t.Logf("%d crashes interrupted %d of %d streams, none twice", s.endedEngineCount(), interrupted, len(calls))
	s.checkHistory()
}

// requestsAtCrashes returns, for each request, the engines that crashed while they ran it. The
// requests that caused the crashes are included.
func (s *site) requestsAtCrashes() map[string][]string {
	out := make(map[string][]string)
	for _, u := range s.engines {
		entries, err := history.Read(u.role.Engine.HistoryPath)
		require.NoError(s.t, err)
		for _, id := range runningAtCrash(entries) {
			out[id] = append(out[id], u.name)
		}
	}
	return out
}

// runningAtCrash returns the IDs of the requests that were running at the crash in a history,
// or nil if there is none.
func runningAtCrash(entries []history.Entry) []string {
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
