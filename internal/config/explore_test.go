package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

func TestExplorationOfAChangeWithLostAnswers(t *testing.T) {
	for name, start := range scenarios() {
		states, fault := explore(start, realRules())
		t.Logf("%s: %d states", name, states)
		require.Empty(t, fault, name)
		require.Less(t, states, maxExplored)
	}
}

func TestExplorationCatchesPlantedFaults(t *testing.T) {
	variants := map[string]func(*rules){
		"a lost answer told as refused": func(r *rules) {
			giveUp := r.giveUp
			r.giveUp = func(a attempt) Outcome {
				if o := giveUp(a); o.Kind != OutcomeUnknown || len(a.sent) == 0 {
					return o
				}
				return Outcome{Kind: OutcomeRefused}
			}
		},
		"a refusal told on an old document": func(r *rules) {
			next := r.next
			r.next = func(a attempt) step {
				a.known = true
				return next(a)
			}
		},
		"a lost answer taken for accepted": func(r *rules) {
			r.giveUp = func(a attempt) Outcome {
				if len(a.sent) > 0 {
					return Outcome{Kind: OutcomeAccepted, Version: a.sent[0] + 1}
				}
				return a.giveUp("")
			}
		},
		"a conflict told without looking for the change ID": func(r *rules) {
			next := r.next
			r.next = func(a attempt) step {
				s := next(a)
				if s.outcome != nil && s.outcome.Kind == OutcomeAccepted && len(a.sent) > 0 {
					return report(Outcome{Kind: OutcomeConflict})
				}
				return s
			}
		},
		"an answer that came just in time not looked at": func(r *rules) {
			r.giveUp = func(a attempt) Outcome {
				if len(a.sent) > 0 {
					return Outcome{Kind: OutcomeUnknown}
				}
				return Outcome{Kind: OutcomeRefused}
			}
		},
		"a change made again on the next version": func(r *rules) {
			r.next = func(a attempt) step {
				if a.current.find(a.proposal.Change) >= 0 && len(a.sent) > 0 {
					return a.build(a.current)
				}
				return a.next()
			}
		},
		"the archive not asked": func(r *rules) {
			r.next = func(a attempt) step {
				s := a.next()
				if s.search {
					return a.build(a.current)
				}
				return s
			}
		},
		"an old search taken for a new one": func(r *rules) {
			r.next = func(a attempt) step {
				if s := a.next(); !s.search || a.search == nil {
					return s
				}
				return a.build(a.current)
			}
		},
		"a change dropped before it is in the archive": func(r *rules) {
			r.next = func(a attempt) step {
				for _, change := range a.current.Recent {
					a.keptInArchive(change.Change)
				}
				return a.next()
			}
		},
	}
	for name, plant := range variants {
		r := realRules()
		plant(&r)
		found := ""
		for _, start := range scenarios() {
			if _, fault := explore(start, r); fault != "" {
				found = fault
				break // one scenario that shows it is enough
			}
		}
		require.NotEmpty(t, found, name)
		t.Logf("%s: caught: %s", name, found)
	}
}

func TestADroppedChangeIsLookedForInTheArchive(t *testing.T) {
	p := setReplicas("a", 0, 1)
	d := &Document{Site: Site{Version: 500}, Dropped: true}
	for i := range MaxRecentChanges {
		d.Recent = append(d.Recent, ChangeRecord{Change: ident.Change(fmt.Sprint(i)), Base: uint64(500 - MaxRecentChanges + i)})
	}
	settle := func(change archivedChange, forgot bool) Outcome {
		a := attempt{proposal: &p, window: MaxRecentChanges, current: d, known: true, sent: []uint64{3}}
		require.True(t, a.next().search)
		a.searched(500, &bucket{Changes: []archivedChange{change}, Forgot: forgot})
		if s := a.next(); s.outcome != nil {
			return *s.outcome
		}
		return Outcome{}
	}
	require.Equal(t, Outcome{Kind: OutcomeAccepted, Change: "a", Version: 4}, settle(archivedChange{Change: "a", Digest: p.digest(), Version: 4}, false))
	require.Equal(t, OutcomeRefused, settle(archivedChange{Change: "a", Digest: 1, Version: 4}, false).Kind)
	require.Empty(t, settle(archivedChange{Change: "b"}, false).Kind, "it was never made, and can be")
	require.Equal(t, OutcomeUnknown, settle(archivedChange{Change: "b"}, true).Kind)

	based := setReplicas("a", 500-MaxRecentChanges, 1)
	a := attempt{proposal: &based, window: MaxRecentChanges, current: d, known: true}
	require.Len(t, a.next().outcome.Won, MaxRecentChanges, "all changes since are listed, and the archive need not be asked")
	based.BaseVersion--
	require.True(t, a.next().search)
	a.searched(500, &bucket{})
	require.Equal(t, OutcomeConflict, a.next().outcome.Kind)
	require.Contains(t, a.next().outcome.Reason, "only the latest")
}
