package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLatencyRatioIsLearnedFromLongPrompts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New("a", MaxParts(0), func() time.Time { return now }, rand.New(rand.NewPCG(1, 1)).Float64)
	_, ok := b.LatencyRatio()
	require.False(t, ok)
	for range 1000 {
		b.latencyRatio.add(minSpeedTokens-1, 10*time.Second, time.Second)
	}
	_, ok = b.LatencyRatio()
	require.False(t, ok, "short prompts do not count")
	for range 50 {
		b.latencyRatio.add(5000, 600*time.Millisecond, time.Second)
	}
	ratio, ok := b.LatencyRatio()
	require.True(t, ok)
	require.InDelta(t, 0.6, ratio, 0.01)
	b.latencyRatio.add(5000, time.Minute, time.Second)
	ratio, _ = b.LatencyRatio()
	require.Less(t, ratio, 0.7, "one stuck request hardly counts")
	for range 200 {
		b.latencyRatio.add(5000, 2*time.Second, time.Second)
	}
	ratio, _ = b.LatencyRatio()
	require.InDelta(t, 2, ratio, 0.1)
}
