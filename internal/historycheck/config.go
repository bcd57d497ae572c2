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
			late := seen.At.Sub(couldHear(h, &change, &seen))
			if seen.Version < change.Version && late > ConfigLimit {
				r.add(string(seen.Incarnation), "has version %d, %s after it could hear of the accepted version %d",
					seen.Version, late.Round(time.Millisecond), change.Version)
			}
		}
	}
	return r.out
}

// couldHear returns when the node that was seen could first hear of a change: when
// it was accepted, or when the node's process went on that was stopped then or later.
func couldHear(h *History, change *Change, seen *Seen) time.Time {
	from := change.At
	for i := range h.Faults {
		f := &h.Faults[i]
		stopped := f.Kind == FaultPause && f.Node == seen.Incarnation.Node() && f.overlaps(change.At, seen.At)
		if stopped && f.Till.After(from) {
			from = f.Till
		}
	}
	return from
}
