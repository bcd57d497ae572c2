package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

func TestExplorationWithLostResponsesFindsNoFault(t *testing.T) {
	for name, start := range scenarios() {
		states, fault := explore(start, correctRules())
		t.Logf("%s: %d states", name, states)
		require.Empty(t, fault, name)
		require.Less(t, states, maxExplored)
	}
}

func TestExplorationDetectsInjectedFaults(t *testing.T) {
	variants := map[string]func(*rules){
		"an unknown write reported as refused": func(r *rules) {
			giveUp := r.finalOutcome
			r.finalOutcome = func(a attempt) Outcome {
				if o := giveUp(a); o.Kind != OutcomeUnknown || len(a.unconfirmed) == 0 {
					return o
				}
				return Outcome{Kind: OutcomeRefused}
			}
		},
		"a refusal based on a stale document": func(r *rules) {
			next := r.nextStep
			r.nextStep = func(a attempt) step {
				a.fresh = true
				return next(a)
			}
		},
		"an unknown write reported as accepted": func(r *rules) {
			r.finalOutcome = func(a attempt) Outcome {
				if len(a.unconfirmed) > 0 {
					return Outcome{Kind: OutcomeAccepted, Version: a.unconfirmed[0] + 1}
				}
				return a.finalOutcome("")
			}
		},
		"a conflict reported without looking for the change ID": func(r *rules) {
			next := r.nextStep
			r.nextStep = func(a attempt) step {
				s := next(a)
				if s.outcome != nil && s.outcome.Kind == OutcomeAccepted && len(a.unconfirmed) > 0 {
					return reportOutcome(Outcome{Kind: OutcomeConflict})
				}
				return s
			}
		},
		"a response that arrived just in time is ignored": func(r *rules) {
			r.finalOutcome = func(a attempt) Outcome {
				if len(a.unconfirmed) > 0 {
					return Outcome{Kind: OutcomeUnknown}
				}
				return Outcome{Kind: OutcomeRefused}
			}
		},
		"a change applied again to the next version": func(r *rules) {
			r.nextStep = func(a attempt) step {
				if a.current.find(a.proposal.Change) >= 0 && len(a.unconfirmed) > 0 {
					return a.buildDocument(a.current)
				}
				return a.nextStep()
			}
		},
		"the archive is not read": func(r *rules) {
			r.nextStep = func(a attempt) step {
				s := a.nextStep()
				if s.search {
					return a.buildDocument(a.current)
				}
				return s
			}
		},
		"an outdated archive lookup used as a current one": func(r *rules) {
			r.nextStep = func(a attempt) step {
				if s := a.nextStep(); !s.search || a.search == nil {
					return s
				}
				return a.buildDocument(a.current)
			}
		},
		"a change dropped before it is archived": func(r *rules) {
			r.nextStep = func(a attempt) step {
				for _, change := range a.current.Recent {
					a.markArchived(change.Change)
				}
				return a.nextStep()
			}
		},
	}
	for name, inject := range variants {
		r := correctRules()
		inject(&r)
		found := ""
		for _, start := range scenarios() {
			if _, fault := explore(start, r); fault != "" {
				found = fault
				break // one scenario that detects the fault is enough
			}
		}
		require.NotEmpty(t, found, name)
		t.Logf("%s: detected: %s", name, found)
	}
}

func TestDroppedChangeIsLookedUpInTheArchive(t *testing.T) {
	p := setReplicas("a", 0, 1)
	d := &Document{Site: Site{Version: 500}, Dropped: true}
	for i := range MaxRecentChanges {
		d.Recent = append(d.Recent, ChangeRecord{Change: ident.Change(fmt.Sprint(i)), Base: uint64(500 - MaxRecentChanges + i)})
	}
	search := func(change archivedChange, evicted bool) Outcome {
		a := attempt{proposal: &p, window: MaxRecentChanges, current: d, fresh: true, unconfirmed: []uint64{3}}
		require.True(t, a.nextStep().search)
		a.recordSearch(500, &bucket{Changes: []archivedChange{change}, Evicted: evicted})
		if s := a.nextStep(); s.outcome != nil {
			return *s.outcome
		}
		return Outcome{}
	}
	require.Equal(t, Outcome{Kind: OutcomeAccepted, Change: "a", Version: 4}, search(archivedChange{Change: "a", Digest: p.digest(), Version: 4}, false))
	require.Equal(t, OutcomeRefused, search(archivedChange{Change: "a", Digest: 1, Version: 4}, false).Kind)
	require.Empty(t, search(archivedChange{Change: "b"}, false).Kind, "a change that was never applied got an outcome instead of being applied now")
	require.Equal(t, OutcomeUnknown, search(archivedChange{Change: "b"}, true).Kind)

	based := setReplicas("a", 500-MaxRecentChanges, 1)
	a := attempt{proposal: &based, window: MaxRecentChanges, current: d, fresh: true}
	require.Len(t, a.nextStep().outcome.ConflictingChanges, MaxRecentChanges, "all changes since are listed, so no archive lookup is needed")
	based.BaseVersion--
	require.True(t, a.nextStep().search)
	a.recordSearch(500, &bucket{})
	require.Equal(t, OutcomeConflict, a.nextStep().outcome.Kind)
	require.Contains(t, a.nextStep().outcome.Reason, "only the latest")
}
