package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTopNAgreesWithIsInTopN(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	for n := range len(names) + 2 {
		first := TopN("role", names, n)
		for _, name := range names {
			require.Equal(t, IsInTopN("role", name, names, n), contains(first, name), "%s of %d", name, n)
		}
	}
}

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}

func TestWeightedScoreSharesKeysByWeight(t *testing.T) {
	weights := map[string]float64{"slow": 0.6, "usual": 1, "fast": 1.6}
	const keys = 20_000
	won := make(map[string]int)
	for i := range keys {
		best, bestScore := "", 0.0
		for name, weight := range weights {
			if score := WeightedScore(fmt.Sprint(i), name, weight); score > bestScore {
				best, bestScore = name, score
			}
		}
		won[best]++
	}
	for name, weight := range weights {
		require.InDelta(t, weight/3.2, float64(won[name])/keys, 0.02, name)
	}
}

func TestEqualWeightsRankAsWithoutWeights(t *testing.T) {
	for i := range 2000 {
		key := fmt.Sprint(i)
		require.Equal(t, Score(key, "a") > Score(key, "b"), WeightedScore(key, "a", 1) > WeightedScore(key, "b", 1))
	}
}
