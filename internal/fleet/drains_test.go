package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrainOutlivesMarks(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &recordingBroadcaster{}
	l := NewLeavingMarks(r, func() time.Time { return now })
	view := NewLeavingView(fixedView{{ID: "u1", Host: "h1", State: StateReady}}, l)
	var told []Mark
	l.OnMark(func(m Mark) { told = append(told, m) })

	l.SetDrains(5, []Subject{{Host: "h1"}})
	require.Equal(t, StateLeaving, view.Upstreams()[0].State)
	require.NoError(t, l.MarkUpstream("u1", now, SourceAnswer))
	now = now.Add(100 * MarkLifetime)
	require.NoError(t, l.MarkUpstream("u9", now, SourceAnswer)) // applying a mark drops expired ones
	require.Equal(t, StateLeaving, view.Upstreams()[0].State, "the drain ended when the mark expired")
	_, err := l.Clear(Subject{Host: "h1"})
	require.NoError(t, err)
	require.Equal(t, StateLeaving, view.Upstreams()[0].State, "clearing a mark must not clear the drain")
	require.Contains(t, l.Marks(), Mark{Subject: Subject{Host: "h1"}, At: time.Unix(1000, 0), Source: SourceDrain})

	changes := l.Changes()
	l.SetDrains(4, nil)
	require.Equal(t, StateLeaving, view.Upstreams()[0].State, "an older configuration version was applied")
	l.SetDrains(6, []Subject{{Host: "h1"}})
	require.Equal(t, changes, l.Changes(), "an unchanged list of drains counted as a change")
	l.SetDrains(7, nil)
	require.Greater(t, l.Changes(), changes)
	require.Equal(t, StateReady, view.Upstreams()[0].State)
	require.Equal(t, []bool{false, false, false, true}, []bool{told[0].Cleared, told[1].Cleared, told[2].Cleared, told[3].Cleared})
	require.Len(t, told, 4)
}

func TestDrainedUpstreamIsNotTakenAway(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLeavingMarks(&recordingBroadcaster{}, func() time.Time { return now })
	u := Upstream{ID: "u1", Host: "h1"}
	l.SetDrains(1, []Subject{{Host: "h1"}})
	require.Equal(t, now.Add(minDrainTime), l.ReclaimAt(u), "requests on a drained host get the full drain time")

	require.NoError(t, l.MarkUpstream("u1", now, SourceAnswer))
	require.Zero(t, l.ReclaimAt(u), "the upstream is leaving at an unknown time")
	require.NoError(t, l.MarkReclaim("h1", now, now.Add(time.Second)))
	require.Equal(t, now.Add(time.Second), l.ReclaimAt(u))
}
