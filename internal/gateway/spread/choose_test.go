package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestLevelIsWhereTheUnseenRequestsEnd(t *testing.T) {
	candidates := []Candidate{{Cost: 10 * ms, PerRequest: 10 * ms}, {Cost: 30 * ms, PerRequest: 20 * ms}, {Cost: time.Second, PerRequest: ms}}
	require.InDelta(t, 20*ms, Level(candidates, 0), float64(ms)) // one request on the first
	require.InDelta(t, 50*ms, Level(candidates, 4), float64(ms)) // four there and one on the second
	require.InDelta(t, 80*ms, Level(candidates[:1], 6), float64(ms))
}

func TestSharesFollowTheRoomBelowTheLevel(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []Candidate{{Cost: 0, PerRequest: 10 * ms}, {Cost: 0, PerRequest: 30 * ms}, {Cost: time.Second, PerRequest: ms}}
	var counts [3]int
	for range 4000 {
		counts[Choose(candidates, Level(candidates, 50), random.Float64)]++
	}
	require.InDelta(t, 3000, counts[0], 150)
	require.InDelta(t, 1000, counts[1], 150)
	require.Zero(t, counts[2])
}

func TestWithoutUnseenRequestsTheCheapestIsChosen(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []Candidate{{Cost: 40 * ms, PerRequest: 10 * ms}, {Cost: 20 * ms, PerRequest: 10 * ms}, {Cost: 31 * ms, PerRequest: 10 * ms}}
	for range 100 {
		require.Equal(t, 1, Choose(candidates, Level(candidates, 0), random.Float64))
	}
}

func TestEqualCostsWithoutRangeAreNoDivisionByZero(t *testing.T) {
	candidates := []Candidate{{Cost: 20 * ms, PerRequest: 1}, {Cost: 20 * ms, PerRequest: 1}}
	require.Less(t, Choose(candidates, Level(candidates, 0), func() float64 { return 0.99 }), 2)
}
