package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// MaxConfigDelay is how long an accepted change may take to be in force on every node.
const MaxConfigDelay = 4 * time.Second

// CheckConfig checks that no incarnation was observed with an older version after
// a newer one, that each had an accepted version in force within MaxConfigDelay, and
// that the contents of the store match the outcomes that operators received.
func CheckConfig(h *History) []Violation {
	r := report{property: PropertyConfig}
	checkStored(&r, h)
	latest := make(map[ident.Incarnation]ObservedVersion)
	for _, seen := range h.ObservedVersions {
		before, ok := latest[seen.Incarnation]
		if ok && seen.Version < before.Version {
			r.add(string(seen.Incarnation), "went back from version %d to %d", before.Version, seen.Version)
		}
		latest[seen.Incarnation] = seen
		for _, change := range h.Changes {
			late := seen.At.Sub(earliestKnowledge(h, &change, &seen))
			if seen.Version < change.Version && late > MaxConfigDelay {
				r.add(string(seen.Incarnation), "has version %d, %s after it could hear of the accepted version %d",
					seen.Version, late.Round(time.Millisecond), change.Version)
			}
		}
	}
	return r.violations
}

// earliestKnowledge returns when the observed node could first learn of a change: when it was
// accepted or, if the node's process was paused then or later, when the process was resumed.
func earliestKnowledge(h *History, change *Change, seen *ObservedVersion) time.Time {
	from := change.At
	for i := range h.Faults {
		f := &h.Faults[i]
		paused := f.Kind == FaultPause && f.Node == seen.Incarnation.Node() && f.overlaps(change.At, seen.At)
		if paused && f.End.After(from) {
			from = f.End
		}
	}
	return from
}
