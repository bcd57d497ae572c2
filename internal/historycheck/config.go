package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// ConfigLimit is how long an accepted change may take to be in force everywhere.
const ConfigLimit = 4 * time.Second

// CheckConfig checks that no incarnation was seen with an older version after
// a newer one, that each saw an accepted version within ConfigLimit, and that
// the store has what operators were told it has.
func CheckConfig(h *History) []Violation {
	r := report{property: PropertyConfig}
	checkStored(&r, h)
	latest := make(map[ident.Incarnation]Seen)
	for _, seen := range h.Seen {
		before, ok := latest[seen.Incarnation]
		if ok && seen.Version < before.Version {
			r.add(string(seen.Incarnation), "went back from version %d to %d", before.Version, seen.Version)
		}
		latest[seen.Incarnation] = seen
		for _, change := range h.Changes {
			if seen.Version < change.Version && seen.At.Sub(change.At) > ConfigLimit {
				r.add(string(seen.Incarnation), "has version %d, %s after version %d was accepted",
					seen.Version, seen.At.Sub(change.At).Round(time.Millisecond), change.Version)
			}
		}
	}
	return r.out
}
