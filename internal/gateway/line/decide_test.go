package line

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func request() Request {
	return Request{Rank: 1, Target: 800 * time.Millisecond, Left: 6 * time.Second}
}

func TestNothingIsRefusedWhileRoomIsNotShort(t *testing.T) {
	r := request()
	r.OverShare = true
	room := Room{Wait: 400 * time.Millisecond, Own: 2 * time.Second, Open: 64, Slots: 32}
	require.Equal(t, Decision{Rank: 1}, Decide(&r, &room), "a long prompt is late by itself and holds up nobody")
}

func TestRequestBeyondItsDeadlineIsRefusedAtOnce(t *testing.T) {
	r := request()
	room := Room{Wait: 5 * time.Second, Own: 1100 * time.Millisecond, Slots: 32}
	require.Equal(t, Decision{Refuse: true, Reason: ReasonDeadline, RoomIn: 100 * time.Millisecond}, Decide(&r, &room))
}

func TestLateRequestDoesNotPushOthersLate(t *testing.T) {
	r := request()
	room := Room{Wait: 700 * time.Millisecond, Own: 200 * time.Millisecond, Open: 16, Slots: 32}
	require.Equal(t, Decision{Refuse: true, Reason: ReasonTarget, RoomIn: 100 * time.Millisecond}, Decide(&r, &room))
	room.Open = 15
	require.False(t, Decide(&r, &room).Refuse, "most slots are free: the estimate may be wrong")
	room.Open, r.Begun = 32, true
	require.False(t, Decide(&r, &room).Refuse, "a response that has begun is not given up")
	r.Begun, r.Target = false, 0
	require.False(t, Decide(&r, &room).Refuse, "a route without a target latency has no late responses")
}

func TestHotWorkspaceIsRefusedBeforeOthers(t *testing.T) {
	r := request()
	r.OverShare = true
	room := Room{Wait: 450 * time.Millisecond, Own: 100 * time.Millisecond, Open: 32, Slots: 32}
	require.Equal(t, ReasonShare, Decide(&r, &room).Reason)
	require.True(t, Decide(&r, &room).Refuse)
	room.Open = 1
	require.Equal(t, Decision{Rank: 4, Reason: ReasonShare}, Decide(&r, &room))
	r.OverShare = false
	require.Equal(t, Decision{Rank: 1}, Decide(&r, &room))
}
