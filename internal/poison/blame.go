package poison

import (
	"cmp"
	"slices"
	"time"
)

// blame returns the parts that crash upstreams. Parts that stand in the same prompts are in flight
// at the same crashes, so a crash counts against one part only: first against parts that no request
// succeeded with, and of these against the deepest, whose refusal affects the fewest requests.
func blame(suspects map[Fingerprint]*Suspect) map[Fingerprint]bool {
	var candidates []*Suspect
	for _, s := range suspects {
		if s.isCandidate() {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, compareBlame)
	guilty := make(map[Fingerprint]bool)
	explained := make(map[uint64]bool)
	for _, s := range candidates {
		if !s.guilty(explained) {
			continue
		}
		guilty[s.Part] = true
		for _, c := range s.Crashes {
			if !c.Refuted {
				explained[c.Upstream] = true
			}
		}
	}
	return guilty
}

// isCandidate reports whether the part may be guilty.
func (s *Suspect) isCandidate() bool { return s.open >= minPartCrashes }

// compareBlame orders suspects by how early they are blamed.
func compareBlame(a, b *Suspect) int {
	if a.Proven != b.Proven {
		if b.Proven {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Depth, a.Depth), cmp.Compare(b.open, a.open), cmp.Compare(a.Part, b.Part))
}

// guilty reports whether the crashes that no other part explains suffice to refuse the part.
func (s *Suspect) guilty(explained map[uint64]bool) bool {
	n, first, last := 0, int64(0), int64(0)
	for _, c := range s.Crashes {
		if c.Refuted || explained[c.Upstream] {
			continue
		}
		if n == 0 {
			last = c.At
		}
		first = c.At
		n++
	}
	span := time.Duration(last-first) * time.Millisecond
	if s.Proven {
		return n >= minProvenPartCrashes && span >= minProvenPartSpan
	}
	return n >= minPartCrashes && span >= minPartSpan
}
