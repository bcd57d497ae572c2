package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

func drainProposal(change ident.Change, base uint64, key string) Proposal {
	return Proposal{Change: change, BaseVersion: base, Edits: []Edit{{Table: TableDrain, Key: key}}}
}

func clearProposal(change ident.Change, base uint64, key string) Proposal {
	return Proposal{Change: change, BaseVersion: base, Edits: []Edit{{Table: TableDrain, Key: key, Remove: true}}}
}

func TestDrainSurvivesRestartOfEveryNode(t *testing.T) {
	c := newCluster(t, 3, 3)
	drained := c.nodes[0].propose(t, drainProposal("c1", 0, "host/h1"))
	require.Equal(t, OutcomeAccepted, drained.Kind, "%+v", drained)
	require.Equal(t, OutcomeAccepted, c.nodes[1].propose(t, drainProposal("c2", 0, "upstream/u7")).Kind)
	for _, n := range c.nodes {
		n.stop()
	}
	c.members.members, c.nodes = nil, nil
	for i := range 3 {
		late := c.start(ident.Node(fmt.Sprint("late", i)), ident.FailureDomain(fmt.Sprint("d", i)))
		late.waitVersion(t, drained.Version+1)
		site := late.manager.Current()
		require.Equal(t, []Drain{{Host: "h1", Change: "c1"}, {Upstream: "u7", Change: "c2"}}, site.Drains)
		require.True(t, site.IsDrained("h1", "u1"))
		require.True(t, site.IsDrained("h2", "u7"))
		require.False(t, site.IsDrained("h2", "u1"))
	}
	cleared := c.nodes[2].propose(t, clearProposal("c3", 0, "host/h1"))
	require.Equal(t, OutcomeAccepted, cleared.Kind, "%+v", cleared)
	for _, n := range c.nodes {
		n.waitVersion(t, cleared.Version)
		require.False(t, n.manager.Current().IsDrained("h1", "u1"))
	}
}

func TestConcurrentDrainAndClearReportTheConflict(t *testing.T) {
	c := newCluster(t, 2, 2)
	first := c.nodes[0].propose(t, drainProposal("c1", 0, "host/h1"))
	cleared := c.nodes[0].propose(t, clearProposal("left", first.Version, "host/h1"))
	require.Equal(t, OutcomeAccepted, cleared.Kind, "%+v", cleared)
	c.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Verb: "update", Calls: 1})
	lost := c.nodes[1].propose(t, drainProposal("right", first.Version, "host/h1"))
	require.Equal(t, OutcomeConflict, lost.Kind, "%+v", lost)
	require.Len(t, lost.ConflictingChanges, 1)
	require.Equal(t, "clear drain host/h1", lost.ConflictingChanges[0].Summary)

	again := c.nodes[1].propose(t, clearProposal("c4", 0, "host/h1"))
	require.Equal(t, OutcomeRefused, again.Kind, "clearing a drain that was already cleared was not refused: %+v", again)
	same := c.nodes[1].propose(t, clearProposal("left", first.Version, "host/h1"))
	require.Equal(t, cleared, same, "a resent command had another outcome")
}

func TestDrainsAreValidated(t *testing.T) {
	c := newCluster(t, 1, 1)
	for _, key := range []string{"h1", "node/n1", "host/", "host/" + strings.Repeat("x", 129), "host/a b"} {
		refused := c.nodes[0].propose(t, drainProposal("c1", 0, key))
		require.Equal(t, OutcomeRefused, refused.Kind, key)
	}
	site := &Site{}
	for i := range MaxDrains {
		site.Drains = append(site.Drains, Drain{Host: ident.Host(fmt.Sprint("h", i))})
	}
	require.Empty(t, Validate(site))
	site.Drains = append(site.Drains, Drain{Upstream: "u1"})
	require.Equal(t, []Fault{{Path: "drain", Value: "1001 drains", Allowed: "at most 1000; clear those of hosts that are gone"}}, Validate(site))
	require.Equal(t, "drain host h1", drainProposal("c", 0, "host/h1").Edits[0].String())
}

func TestOnInForceIsCalledForEachVersion(t *testing.T) {
	calls := make(chan *Site, 10)
	c := newCluster(t, 0, 1)
	c.inForce = func(s *Site) { calls <- s }
	c.start("n0", "d0")
	outcome := c.nodes[0].propose(t, drainProposal("c1", 0, "host/h1"))
	select {
	case site := <-calls:
		require.Equal(t, outcome.Version, site.Version)
		require.Len(t, site.Drains, 1)
	case <-time.After(eventTimeout):
		t.Fatal("OnInForce was not called")
	}
}
