package line

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func request() Request { return Request{Rank: 1, Left: 6 * time.Second} }

func room(wait time.Duration) Room {
	return Room{Wait: wait, Own: 100 * time.Millisecond, Late: 0.5, Target: 800 * time.Millisecond}
}

func TestNothingIsRefusedWhileRoomIsNotShort(t *testing.T) {
	r, at := request(), room(400*time.Millisecond)
	r.OverShare = true
	at.Own = 2 * time.Second // late by its own length
	require.False(t, at.Short())
	require.Equal(t, Decision{Rank: 1}, Decide(&r, &at))
}

func TestRequestBeyondItsDeadlineIsRefusedAtOnce(t *testing.T) {
	r, at := request(), room(6*time.Second)
	at.Late = 0
	require.Equal(t, Decision{Refuse: true, Reason: ReasonDeadline, RoomIn: 100 * time.Millisecond}, Decide(&r, &at))
}

func TestWaitIsBoundedForAllSizesAlike(t *testing.T) {
	r, at := request(), room(600*time.Millisecond)
	for _, own := range []time.Duration{time.Millisecond, 2 * time.Second} {
		at.Own = own
		at.Wait = 600 * time.Millisecond
		require.Equal(t, Decision{Rank: 1}, Decide(&r, &at))
		at.Wait = 650 * time.Millisecond
		require.Equal(t, Decision{Refuse: true, Reason: ReasonWait, RoomIn: 50 * time.Millisecond}, Decide(&r, &at))
	}
}

func TestRequestIsNotGivenUpWithoutNeed(t *testing.T) {
	r, at := request(), room(700*time.Millisecond)
	require.True(t, Decide(&r, &at).Refuse)
	at.Late = 0.2
	require.False(t, Decide(&r, &at).Refuse, "most responses are in time: the estimate may be wrong")
	at.Late, r.Begun = 0.5, true
	require.False(t, Decide(&r, &at).Refuse, "the request may have run")
	r.Begun, at.Target = false, 0
	require.False(t, Decide(&r, &at).Refuse, "no route of the service has a target latency")
}

func TestHotWorkspaceIsRefusedBeforeOthers(t *testing.T) {
	r, at := request(), room(450*time.Millisecond)
	require.Equal(t, Decision{Rank: 1}, Decide(&r, &at))
	r.OverShare = true
	require.True(t, at.Short())
	require.Equal(t, Decision{Refuse: true, Reason: ReasonShare, RoomIn: 50 * time.Millisecond}, Decide(&r, &at))
	at.Late = 0
	require.Equal(t, Decision{Rank: 4, Reason: ReasonShare}, Decide(&r, &at))
}

func TestLatenessIsForgotten(t *testing.T) {
	c := &testClock{at: time.Unix(1000, 0)}
	l := NewLateness(c.now)
	for range 4 {
		l.Record("a", true)
		l.Record("b", false)
		c.at = c.at.Add(100 * time.Millisecond)
	}
	require.Greater(t, l.Share("a"), minLateShare, "a few late responses in a row show that room is short")
	require.Zero(t, l.Share("b"))
	c.at = c.at.Add(time.Second)
	require.Less(t, l.Share("a"), minLateShare, "requests are refused although none was late lately")
}
