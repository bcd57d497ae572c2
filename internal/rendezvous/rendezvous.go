// Package rendezvous implements rendezvous hashing: it ranks the candidates for a key by hash,
// so that nodes with the same list make the same choice without communicating.
//
// Invariant: adding or removing a candidate does not change the relative order of the others.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a candidate for a key; the highest score ranks first.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // writing to a digest never fails
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(candidate)
	return mix(d.Sum64())
}

// WeightedScore returns the score of a candidate with a weight above 0: over many keys, each candidate
// scores highest in proportion to its weight. With equal weights candidates rank as by Score.
func WeightedScore(key, candidate string, weight float64) float64 {
	const bits = 53 // of a float's fraction
	unit := (float64(Score(key, candidate)>>(64-bits)) + 0.5) / (1 << bits)
	return -weight / math.Log(unit)
}

// mix spreads differences in a few bits over all 64 bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// IsInTopN reports whether candidate ranks among the first n candidates for a key.
func IsInTopN(key, candidate string, candidates []string, n int) bool {
	own := Score(key, candidate)
	before := 0
	for _, other := range candidates {
		score := Score(key, other)
		if score > own || (score == own && other < candidate) {
			before++
		}
	}
	return before < n
}

// TopN returns the n highest-ranked candidates for a key, in order of rank.
func TopN(key string, candidates []string, n int) []string {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
	})
	return out[:min(n, len(out))]
}
