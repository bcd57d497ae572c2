package historycheck

import (
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
)

// StoredConfig is what the object store holds of the configuration after a run.
type StoredConfig struct {
	// Changes are all changes that the configuration was made by.
	Changes []ident.Change
}

func (s *StoredConfig) has(change ident.Change) bool {
	return slices.Contains(s.Changes, change)
}

// checkStored checks that the store has each accepted change and no change that an
// operator was told was refused or in conflict.
func checkStored(r *report, h *History) {
	if h.StoredConfig == nil {
		return
	}
	for _, change := range h.Changes {
		if !h.StoredConfig.has(change.ID) {
			r.add(string(change.ID), "was accepted as version %d and is not in the store", change.Version)
		}
	}
	for _, change := range h.RejectedChanges {
		if h.StoredConfig.has(change) {
			r.add(string(change), "was told not to be made and is in the store")
		}
	}
}
