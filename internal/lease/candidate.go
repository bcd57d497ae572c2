package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// maxCandidates is how many nodes compete for a lease.
const maxCandidates = 3

// CandidateOf returns a function for Options.Candidate that admits only maxCandidates nodes,
// chosen by rendezvous hashing over the usable members of all protocol versions. This limits
// the store calls spent on a lease.
func CandidateOf(view membership.View, name string) func() bool {
	return func() bool {
		return slices.Contains(candidates(view.Members(), name), view.Self().Incarnation)
	}
}

// candidates returns the members that compete for a lease, highest-ranked first.
func candidates(members []membership.Member, name string) []ident.Incarnation {
	var usable []ident.Incarnation
	for _, m := range members {
		if m.State.Usable() {
			usable = append(usable, m.Incarnation)
		}
	}
	rank := func(i ident.Incarnation) uint64 { return xxhash.Sum64String(name + "/" + string(i)) }
	slices.SortFunc(usable, func(a, b ident.Incarnation) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return usable[:min(len(usable), maxCandidates)]
}
