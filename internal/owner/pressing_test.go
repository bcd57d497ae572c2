package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/routing"
)

// Where others are refused, one that would be given up soon is let in, up to
// half as many more as may wait; it is first when a slot comes free.
func TestPressingRequestsAreLetInWhereOthersAreRefused(t *testing.T) {
	const waiting = 4
	l := NewLedger("n0", "d0", routing.LeastOutstanding{}, waiting, rand.New(rand.NewPCG(1, 2)))
	l.Update(start, upstreams(1), members(1))
	serial := uint64(0)
	reserve := func(pressing bool) ReserveReply {
		serial++
		a := args(serial, time.Hour)
		a.Pressing = pressing
		if pressing {
			a.Urgency = 1
		}
		return l.Reserve(start, a)
	}
	for range testSlots + waiting {
		require.True(t, reserve(false).Granted)
	}
	require.False(t, reserve(false).Granted)
	first := reserve(true)
	require.True(t, first.Granted)
	require.True(t, first.Wait)
	pressing := ReservationID{Holder: testHolder, Serial: serial}
	for range waiting/2 - 1 {
		require.True(t, reserve(true).Granted)
	}
	require.False(t, reserve(true).Granted, "that is bounded too")
	require.True(t, l.Release(start, ReservationID{Holder: testHolder, Serial: 1}, routing.Outcome{}))
	require.False(t, l.held[pressing].waiting)
}

func TestPressingIsShortlyBeforeTheLatestStart(t *testing.T) {
	require.False(t, Pressing(start, time.Time{}), "no bound")
	require.False(t, Pressing(start, start.Add(pressingTime)))
	require.True(t, Pressing(start, start.Add(pressingTime-time.Nanosecond)))
}
