package operator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/tables"
)

// noBroadcaster discards published marks, as there are no other nodes.
type noBroadcaster struct{}

func (noBroadcaster) Publish(membership.Topic, string, uint64, []byte) error { return nil }
func (noBroadcaster) Subscribe(membership.Topic, func(membership.Rumour))    {}

// upstreams is a fixed list of upstreams.
type upstreams []fleet.Upstream

func (u upstreams) Upstreams() []fleet.Upstream { return u }

func TestNodeExecutesOrders(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { now = now.Add(time.Second); return now }
	list := upstreams{{ID: "u1", Host: "h1", State: fleet.StateReady}, {ID: "u2", Host: "h2", State: fleet.StateReady}}
	stops := 0
	executor := &NodeOrderExecutor{
		Leaving: fleet.NewLeavingMarks(noBroadcaster{}, clock), Poison: poison.NewRegistry(),
		Stop: func() { stops++ }, Now: clock,
	}
	require.NoError(t, executor.DrainNode(t.Context()))
	require.Equal(t, 1, stops)

	for _, c := range []struct {
		what string
		mark func() error
		name string
		at   int
	}{
		{"upstream", func() error { return executor.Leaving.MarkUpstream("u1", clock(), fleet.SourceAnswer) }, "u1", 0},
		{"host", func() error { return executor.Leaving.MarkHost("h2", clock(), fleet.SourceNotice) }, "h2", 1},
	} {
		require.NoError(t, c.mark())
		require.True(t, executor.Leaving.IsLeaving(list[c.at]), c.what)
		cleared, err := executor.ClearLeaving(c.name)
		require.NoError(t, err)
		require.True(t, cleared)
		require.False(t, executor.Leaving.IsLeaving(list[c.at]), c.what)
		cleared, err = executor.ClearLeaving(c.name)
		require.NoError(t, err)
		require.False(t, cleared, "cleared already")
	}

	content := poison.FingerprintOf("m", "", "", "crash")
	executor.Poison.RecordCrash(clock(), content, "u1", false)
	found, err := executor.ClearPoison(tables.PoisonID(content))
	require.NoError(t, err)
	require.True(t, found)
	found, err = executor.ClearPoison("no digest")
	require.NoError(t, err)
	require.False(t, found)
}

func TestLeavingMarksAreRecordedForExplain(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { now = now.Add(time.Second); return now }
	journal := explain.NewJournal("n1", 64, clock)
	leaving := fleet.NewLeavingMarks(noBroadcaster{}, clock)
	RecordLeavingMarks(journal, leaving, upstreams{{ID: "u1", Host: "h0"}, {ID: "u2", Host: "h1"}})
	require.NoError(t, leaving.MarkUpstream("u1", clock(), fleet.SourceAnswer))
	require.NoError(t, leaving.MarkHost("h1", clock(), fleet.SourceNotice))
	require.NoError(t, leaving.MarkHost("h1", clock().Add(fleet.MarkLifetime), fleet.SourceNotice))
	_, err := leaving.Clear(fleet.Subject{Host: "h1"})
	require.NoError(t, err)

	names := func(kind explain.Kind, id string) []string {
		var out []string
		for _, entry := range journal.Lookup(explain.Subject{Kind: kind, ID: id}) {
			out = append(out, entry.Decision.Name)
		}
		return out
	}
	require.Equal(t, []string{"leaving"}, names(explain.KindUpstream, "u1"))
	require.Equal(t, []string{"leaving", "leaving cleared"}, names(explain.KindHost, "h1"), "each news once")
	require.Equal(t, []string{"leaving", "leaving cleared"}, names(explain.KindUpstream, "u2"))
	leaving.SetDrains(1, []fleet.Subject{{Host: "h1"}})
	leaving.SetDrains(2, nil)
	require.Equal(t, []string{"leaving", "leaving cleared", "drained", "drain cleared"}, names(explain.KindHost, "h1"))
	require.Equal(t, []string{"leaving", "leaving cleared", "drained", "drain cleared"}, names(explain.KindUpstream, "u2"))
	require.Contains(t, journal.Lookup(explain.Subject{Kind: explain.KindHost, ID: "h1"})[2].Sentence(), "until `clear drain host/h1`")
	entries := journal.Lookup(explain.Subject{Kind: explain.KindUpstream, ID: "u2"})
	require.Contains(t, entries[0].Sentence(), "its host h1 is leaving. How that was learnt: reclaim notice. When it is taken away: nobody has said.")
	require.NoError(t, leaving.MarkReclaim("h2", clock(), time.Unix(2000, 0)))
	entries = journal.Lookup(explain.Subject{Kind: explain.KindHost, ID: "h2"})
	require.Contains(t, entries[0].Sentence(), "When it is taken away: 1970-01-01T00:33:20Z.")
}
