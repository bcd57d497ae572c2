package historycheck

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/chain"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after startTime.
func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// generateTokens returns the first count tokens that a stand-in engine generates for prompt.
func generateTokens(prompt string, random uint32, count int) []string {
	var out []string
	previous := prompt
	for i := range count {
		previous = chain.Token(i, previous, random)
		out = append(out, previous)
	}
	return out
}

// validHistory returns a history in which every property holds: a stream that moved to
// another upstream, a service call that was refused and resent, and an event of every other kind.
func validHistory() *History {
	return &History{
		Calls: []Call{
			{
				Name: "stream", IDs: []string{"a"}, Input: "p", Idempotent: true, MaxTokens: 3, Accepted: true, Complete: true,
				Started: at(1), Finished: at(4), Tokens: generateTokens("p", 7, 3), Losses: []Loss{{Address: "n1", At: at(1.5)}},
			},
			{
				Name: "hold", IDs: []string{"b", "c", "c"}, Input: "dock 4", Service: true, Accepted: true, Complete: true,
				Started: at(1), Finished: at(3), Output: "s1 did dock 4", Refusals: []Refusal{{ID: "b", Verdict: verdict.NotRun, At: at(2)}},
			},
		},
		StandinEntries: []history.Entry{
			{Standin: "e1", Event: history.EventStart, RequestID: "a", At: at(1)},
			{Standin: "e1", Event: history.EventLeaving, At: at(2)},
			{Standin: "e1", Event: history.EventRefused, RequestID: "z", At: at(4.9)},
			{Standin: "s1", Event: history.EventStart, RequestID: "c", At: at(2.5)},
		},
		Faults: []Fault{
			{Kind: FaultReclaim, Target: "e1", At: at(2), End: at(4)},
			{Kind: FaultStop, Target: "n1", Address: "n1", At: at(2), End: at(3)},
		},
		Changes:          []Change{{ID: "x", Version: 5, At: at(1)}},
		RejectedChanges:  []ident.Change{"y"},
		StoredConfig:     &StoredConfig{Changes: []ident.Change{"first", "x"}},
		ObservedVersions: []ObservedVersion{{Incarnation: "n1_1", Version: 4, At: at(2)}, {Incarnation: "n1_1", Version: 5, At: at(4)}},
	}
}

func TestValidHistoryHasNoViolation(t *testing.T) {
	require.Empty(t, Check(validHistory()))
}

func TestInjectedViolationsAreReported(t *testing.T) {
	cases := []struct {
		name     string
		property Property
		modify   func(*History)
	}{
		{"accepted request lost in a reclaim", PropertyAnswered, func(h *History) {
			h.Calls[1].Complete = false
			h.Faults = h.Faults[:1]
		}},
		{"token of another generation", PropertyAnswerContent, func(h *History) { h.Calls[0].Tokens[2] = generateTokens("p", 8, 3)[2] }},
		{"answer to another prompt", PropertyAnswerContent, func(h *History) { h.Calls[0].Tokens = generateTokens("q", 7, 3) }},
		{"token missing at the end", PropertyAnswerContent, func(h *History) { h.Calls[0].Tokens = h.Calls[0].Tokens[:2] }},
		{"token received twice", PropertyAnswerContent, func(h *History) { h.Calls[0].Tokens[1] = h.Calls[0].Tokens[0] }},
		{"reply to another payload", PropertyAnswerContent, func(h *History) { h.Calls[1].Output = "s1 did dock 5" }},
		{"run before its refusal as not run", PropertyNotRun, func(h *History) { h.StandinEntries[3].RequestID = "b" }},
		{"run twice under one ID", PropertyAtMostOnce, func(h *History) { h.StandinEntries = append(h.StandinEntries, h.StandinEntries[3]) }},
		{"run under two IDs", PropertyAtMostOnce, func(h *History) {
			h.StandinEntries = append(h.StandinEntries, history.Entry{Standin: "s2", Event: history.EventStart, RequestID: "b", At: at(2)})
		}},
		{"new work for a leaving upstream", PropertyLeaving, func(h *History) { h.StandinEntries[2].At = at(5.1) }},
		{"work started by a leaving upstream", PropertyLeaving, func(h *History) {
			h.StandinEntries = append(h.StandinEntries, history.Entry{Standin: "e1", Event: history.EventStart, RequestID: "y", At: at(9)})
		}},
		{"connection cut by a planned stop", PropertyPlannedStop, func(h *History) { h.Calls[0].Losses[0].At = at(2.5) }},
		{"request lost in a planned stop", PropertyPlannedStop, func(h *History) { h.Calls[1].Complete = false }},
		{"configuration reverts to an older version", PropertyConfig, func(h *History) {
			h.ObservedVersions = append(h.ObservedVersions, ObservedVersion{Incarnation: "n1_1", Version: 4, At: at(4.5)})
		}},
		{"accepted change is not in the store", PropertyConfig, func(h *History) { h.StoredConfig.Changes = h.StoredConfig.Changes[:1] }},
		{"change reported as not made is in the store", PropertyConfig, func(h *History) { h.RejectedChanges[0] = "x" }},
		{"configuration not in force in time", PropertyConfig, func(h *History) { h.ObservedVersions[0].At = at(5.1) }},
	}
	for _, p := range cases {
		t.Run(p.name, func(t *testing.T) {
			h := validHistory()
			p.modify(h)
			var found []string
			for _, v := range Check(h) {
				if v.Property == p.property {
					found = append(found, v.String())
				}
			}
			require.NotEmpty(t, found)
			t.Log(strings.Join(found, "\n"))
		})
	}
}
