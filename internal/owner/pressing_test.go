package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/routing"
)

// When the queue is full for other requests, pressing ones are still admitted, up to
// half of the overcommit on top of it, and the most urgent gets the next free slot.
func TestPressingRequestsAreAdmittedWhenQueueIsFull(t *testing.T) {
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
	require.False(t, reserve(true).Granted, "pressing requests are limited, too")
	require.True(t, l.Release(start, ReservationID{Holder: testHolder, Serial: 1}, routing.Outcome{}))
	require.False(t, l.held[pressing].waiting)
}

func TestIsPressingWithinWindowBeforeLatestStart(t *testing.T) {
	require.False(t, IsPressing(start, time.Time{}), "no latest start")
	require.False(t, IsPressing(start, start.Add(pressingWindow)))
	require.True(t, IsPressing(start, start.Add(pressingWindow-time.Nanosecond)))
}
