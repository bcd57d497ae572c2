package line

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReturnsAreSpreadAndMoreUrgentOnesComeFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const roomIn = 500 * time.Millisecond
	sums := make([]time.Duration, 3)
	for rank := range sums {
		var all []time.Duration
		for range 1000 {
			r := Request{Rank: rank * 4, Left: 10 * time.Second}
			after := ReturnAfter(&r, roomIn, random.Float64())
			require.GreaterOrEqual(t, after, roomIn, "nobody returns before there is room")
			all = append(all, after)
			sums[rank] += after
		}
		require.Greater(t, slices.Max(all)-slices.Min(all), 200*time.Millisecond, "clients return all at once")
	}
	require.True(t, slices.IsSorted(sums))
}

func TestReturnLeavesTimeToBeServed(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		r := Request{Left: 900 * time.Millisecond}
		after := ReturnAfter(&r, 2*time.Second, random)
		require.LessOrEqual(t, after, 300*time.Millisecond)
		require.GreaterOrEqual(t, after, 150*time.Millisecond)
		r.Left = 100 * time.Millisecond
		require.Zero(t, ReturnAfter(&r, 2*time.Second, random), "returning is useless")
	}
}
