package historycheck

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// History is the record of one test run.
type History struct {
	// Calls are the callers' requests; resends belong to the call of their request.
	Calls []Call
	// StandinEntries are the entries that the stand-ins recorded, in the order of time for each stand-in.
	StandinEntries []history.Entry
	// Faults are the faults that the test injected.
	Faults []Fault
	// Changes are the configuration changes that operators were told were accepted.
	Changes []Change
	// RejectedChanges are the changes that operators were told were refused or in conflict.
	RejectedChanges []ident.Change
	// ObservedVersions are observations of the configuration version in force on a node.
	ObservedVersions []ObservedVersion
	// StoredConfig is the configuration in the object store at the end; nil if it was not read.
	StoredConfig *StoredConfig
}
