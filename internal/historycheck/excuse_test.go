package historycheck

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// heldID names n1 as its home and n2 as its witness.
const heldID = "n1_0123456789abcdef.n2_0123456789abcdef.abcdefghijklmnop"

// lostHold is a hold that n1 ran at s1 and whose caller got no answer, while a
// fault strikes from 2 s to 3 s.
func lostHold(fault Fault) *History {
	fault.At, fault.Till = at(2), at(3)
	return &History{
		Calls: []Call{{
			Name: "hold", IDs: []string{heldID}, Input: "dock 4", Service: true, Verdict: verdict.MayHaveRun,
			Started: at(1), Finished: at(5), Deadline: at(31), Refusals: []Refusal{{ID: heldID, Verdict: verdict.MayHaveRun, At: at(5)}},
		}},
		Runs:   []history.Entry{{Standin: "s1", Event: history.EventStart, RequestID: heldID, At: at(1.5)}},
		Faults: []Fault{fault},
	}
}

func TestFaultsOfItsHoldersExcuseALostHold(t *testing.T) {
	for name, fault := range map[string]Fault{
		"home killed":         {Kind: FaultKill, Node: "n1", Address: "a1"},
		"witness paused":      {Kind: FaultPause, Node: "n2", Address: "a2"},
		"home's link cut":     {Kind: FaultLink, Node: "n1"},
		"upstream's link cut": {Kind: FaultLink, Upstream: "s1"},
		"upstream crashed":    {Kind: FaultKill, Upstream: "s1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := lostHold(fault)
			require.Empty(t, Check(h))
			h.Runs = append(h.Runs, h.Runs[0])
			require.Len(t, Check(h), 1, "begun twice")
		})
	}
}

func TestWhatDoesNotExcuseALostAnswer(t *testing.T) {
	homeKilled := Fault{Kind: FaultKill, Node: "n1", Address: "a1"}
	for name, h := range map[string]*History{
		"another node killed":               lostHold(Fault{Kind: FaultKill, Node: "n3", Address: "a3"}),
		"link of the home's callers cut":    lostHold(Fault{Kind: FaultLink, Address: "a1"}),
		"another upstream's link cut":       lostHold(Fault{Kind: FaultLink, Upstream: "s2"}),
		"another upstream crashed":          lostHold(Fault{Kind: FaultKill, Upstream: "s2"}),
		"outage of the object store":        lostHold(Fault{Kind: FaultStore, Target: "objects"}),
		"deadline during a store's outage":  planted(Fault{Kind: FaultStore}, func(h *History) { h.Calls[0].Deadline = at(6) }),
		"announced reclaim of the home":     lostHold(Fault{Kind: FaultReclaim, Node: "n1", Address: "a1"}),
		"planned stop of the home":          lostHold(Fault{Kind: FaultStop, Node: "n1", Address: "a1"}),
		"said to have run, and no answer":   planted(homeKilled, func(h *History) { h.Calls[0].Verdict = verdict.Ran }),
		"idempotent, before its deadline":   planted(homeKilled, func(h *History) { h.Calls[0].Idempotent = true }),
		"begun long after the fault":        planted(homeKilled, func(h *History) { h.Calls[0].Started, h.Calls[0].Finished = at(14), at(15) }),
		"deadline long after the fault":     planted(Fault{Kind: FaultKill, Node: "n3"}, func(h *History) { h.Calls[0].Finished = at(31) }),
		"given up long before the deadline": planted(Fault{Kind: FaultKill, Node: "n3"}, func(h *History) { h.Calls[0].Deadline = at(12) }),
	} {
		t.Run(name, func(t *testing.T) {
			found := CheckSurvives(h)
			require.Len(t, found, 1)
			t.Log(found[0])
		})
	}
}

func planted(fault Fault, plant func(h *History)) *History {
	h := lostHold(fault)
	plant(h)
	return h
}

func TestDeadlineDuringAFaultExcuses(t *testing.T) {
	h := planted(Fault{Kind: FaultLink, Address: "a3"}, func(h *History) {
		h.Calls[0].Idempotent = true
		h.Calls[0].Deadline = at(6)
	})
	require.Empty(t, CheckSurvives(h))
}

// A table that was handed over may be anywhere.
func TestKilledSuccessorExcusesALostHold(t *testing.T) {
	h := lostHold(Fault{Kind: FaultKill, Node: "n3", Address: "a3"})
	h.Faults = append(h.Faults, Fault{Kind: FaultStop, Target: "n2", Node: "n2", Address: "a2", At: at(1.2), Till: at(1.4)})
	require.Empty(t, CheckSurvives(h))
}

func TestRequestsThatNobodyTookInNeedNoAnswer(t *testing.T) {
	h := lostHold(Fault{Kind: FaultKill, Node: "n3"})
	h.Runs = nil
	require.Len(t, CheckSurvives(h), 1, "a node said that it may have run")
	h.Calls[0].Refusals = nil
	require.Empty(t, CheckSurvives(h))
	h.Calls[0].Accepted = true
	require.Len(t, CheckSurvives(h), 1)
}

func TestPlannedStopIsNotExcusedByAFaultElsewhere(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault Fault
		found int
	}{
		{"another node killed", Fault{Kind: FaultKill, Node: "n3", Address: "n3"}, 1},
		{"its link to other nodes cut", Fault{Kind: FaultLink, Node: "n1"}, 1},
		{"the object store is out", Fault{Kind: FaultStore, Target: "objects"}, 1},
		{"its link to callers cut", Fault{Kind: FaultLink, Address: "n1"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := goodHistory()
			h.Calls[0].Losses[0].At = at(2.5)
			c.fault.At, c.fault.Till = at(2.4), at(2.5)
			h.Faults = append(h.Faults, c.fault)
			require.Len(t, CheckPlannedStop(h), c.found)
		})
	}
}
