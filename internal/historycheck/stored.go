package historycheck

import (
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
)

// Stored is the configuration in the object store after a run.
type Stored struct {
	// Changes are all changes that it was made by.
	Changes []ident.Change
}

func (s *Stored) has(change ident.Change) bool {
	return slices.Contains(s.Changes, change)
}

// checkStored checks that the store has each change that was accepted and none
// that its operator was told was not made.
func checkStored(r *report, h *History) {
	if h.Stored == nil {
		return
	}
	for _, change := range h.Changes {
		if !h.Stored.has(change.ID) {
			r.add(string(change.ID), "was accepted as version %d and is not in the store", change.Version)
		}
	}
	for _, change := range h.NotMade {
		if h.Stored.has(change) {
			r.add(string(change), "was told not to be made and is in the store")
		}
	}
}
