package historycheck

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// lostID is a request ID with home n1 and witness n2.
const lostID = "n1_0123456789abcdef.n2_0123456789abcdef.abcdefghijklmnop"

// lostServiceCall returns a history with one non-idempotent service call whose home is n1 and
// which s1 began to run, whose caller received no answer, and with the given fault from 2 s to 3 s.
func lostServiceCall(fault Fault) *History {
	fault.At, fault.End = at(2), at(3)
	return &History{
		Calls: []Call{{
			Name: "hold", IDs: []string{lostID}, Input: "dock 4", Service: true, Verdict: verdict.MayHaveRun,
			Started: at(1), Finished: at(5), Deadline: at(31), Refusals: []Refusal{{ID: lostID, Verdict: verdict.MayHaveRun, At: at(5)}},
		}},
		StandinEntries: []history.Entry{{Standin: "s1", Event: history.EventStart, RequestID: lostID, At: at(1.5)}},
		Faults:         []Fault{fault},
	}
}

func TestFaultAtHolderExcusesLostNonIdempotentCall(t *testing.T) {
	for name, fault := range map[string]Fault{
		"home killed":         {Kind: FaultKill, Node: "n1", Address: "a1"},
		"witness paused":      {Kind: FaultPause, Node: "n2", Address: "a2"},
		"home's link cut":     {Kind: FaultLink, Node: "n1"},
		"upstream's link cut": {Kind: FaultLink, Upstream: "s1"},
		"upstream crashed":    {Kind: FaultKill, Upstream: "s1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := lostServiceCall(fault)
			require.Empty(t, Check(h))
			h.StandinEntries = append(h.StandinEntries, h.StandinEntries[0])
			require.Len(t, Check(h), 1, "a second start is a violation")
		})
	}
}

func TestLostAnswersThatAreNotExcused(t *testing.T) {
	homeKilled := Fault{Kind: FaultKill, Node: "n1", Address: "a1"}
	for name, h := range map[string]*History{
		"another node killed":               lostServiceCall(Fault{Kind: FaultKill, Node: "n3", Address: "a3"}),
		"link of the home's callers cut":    lostServiceCall(Fault{Kind: FaultLink, Address: "a1"}),
		"another upstream's link cut":       lostServiceCall(Fault{Kind: FaultLink, Upstream: "s2"}),
		"another upstream crashed":          lostServiceCall(Fault{Kind: FaultKill, Upstream: "s2"}),
		"outage of the object store":        lostServiceCall(Fault{Kind: FaultStore, Target: "objects"}),
		"deadline during a store's outage":  lostServiceCallWith(Fault{Kind: FaultStore}, func(h *History) { h.Calls[0].Deadline = at(6) }),
		"announced reclaim of the home":     lostServiceCall(Fault{Kind: FaultReclaim, Node: "n1", Address: "a1"}),
		"planned stop of the home":          lostServiceCall(Fault{Kind: FaultStop, Node: "n1", Address: "a1"}),
		"verdict ran, without an answer":    lostServiceCallWith(homeKilled, func(h *History) { h.Calls[0].Verdict = verdict.Ran }),
		"idempotent, before its deadline":   lostServiceCallWith(homeKilled, func(h *History) { h.Calls[0].Idempotent = true }),
		"sent long after the fault":         lostServiceCallWith(homeKilled, func(h *History) { h.Calls[0].Started, h.Calls[0].Finished = at(14), at(15) }),
		"deadline long after the fault":     lostServiceCallWith(Fault{Kind: FaultKill, Node: "n3"}, func(h *History) { h.Calls[0].Finished = at(31) }),
		"given up long before the deadline": lostServiceCallWith(Fault{Kind: FaultKill, Node: "n3"}, func(h *History) { h.Calls[0].Deadline = at(12) }),
	} {
		t.Run(name, func(t *testing.T) {
			found := CheckAnswered(h)
			require.Len(t, found, 1)
			t.Log(found[0])
		})
	}
}

// lostServiceCallWith returns the history of lostServiceCall after modify has changed it.
func lostServiceCallWith(fault Fault, modify func(h *History)) *History {
	h := lostServiceCall(fault)
	modify(h)
	return h
}

func TestDeadlineDuringAFaultExcuses(t *testing.T) {
	h := lostServiceCallWith(Fault{Kind: FaultLink, Address: "a3"}, func(h *History) {
		h.Calls[0].Idempotent = true
		h.Calls[0].Deadline = at(6)
	})
	require.Empty(t, CheckAnswered(h))
}

// TestFaultAtPossibleSuccessorExcusesLostCall kills a third node after the witness stopped by
// plan: any node may have taken over the tables of the witness.
func TestFaultAtPossibleSuccessorExcusesLostCall(t *testing.T) {
	h := lostServiceCall(Fault{Kind: FaultKill, Node: "n3", Address: "a3"})
	h.Faults = append(h.Faults, Fault{Kind: FaultStop, Target: "n2", Node: "n2", Address: "a2", At: at(1.2), End: at(1.4)})
	require.Empty(t, CheckAnswered(h))
}

func TestRequestThatWasNotAcceptedNeedsNoAnswer(t *testing.T) {
	h := lostServiceCall(Fault{Kind: FaultKill, Node: "n3"})
	h.StandinEntries = nil
	require.Len(t, CheckAnswered(h), 1, "a node reported that it may have run")
	h.Calls[0].Refusals = nil
	require.Empty(t, CheckAnswered(h))
	h.Calls[0].Accepted = true
	require.Len(t, CheckAnswered(h), 1)
}

func TestFaultElsewhereDoesNotExcuseLossDuringPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault Fault
		found int
	}{
		{"another node killed", Fault{Kind: FaultKill, Node: "n3", Address: "n3"}, 1},
		{"its link to other nodes cut", Fault{Kind: FaultLink, Node: "n1"}, 1},
		{"outage of the object store", Fault{Kind: FaultStore, Target: "objects"}, 1},
		{"its link to callers cut", Fault{Kind: FaultLink, Address: "n1"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			h.Calls[0].Losses[0].At = at(2.5)
			c.fault.At, c.fault.End = at(2.4), at(2.5)
			h.Faults = append(h.Faults, c.fault)
			require.Len(t, CheckPlannedStop(h), c.found)
		})
	}
}
