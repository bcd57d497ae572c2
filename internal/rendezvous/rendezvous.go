// Package rendezvous ranks candidates for a key by hash, so that nodes with the
// same list choose alike without agreeing on anything.
//
// Invariant: adding or removing a candidate changes the order of no two others.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rank of a candidate for a key; the highest comes first.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // a digest does not fail
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(candidate)
	return mix(d.Sum64())
}

// mix spreads differences in few bits over all of them.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// InFirst reports whether candidate is among the first n for a key.
func InFirst(key, candidate string, candidates []string, n int) bool {
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

// First returns the first n candidates for a key, the first one first.
func First(key string, candidates []string, n int) []string {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
	})
	return out[:min(n, len(out))]
}
