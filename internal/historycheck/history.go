package historycheck

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// History is what is known about one run.
type History struct {
	// Calls are the callers' requests, each with all its sends.
	Calls []Call
	// Runs are the entries of all stand-ins, in the order of time for each stand-in.
	Runs []history.Entry
	// Faults are what was done to processes and links.
	Faults []Fault
	// Changes are the configuration changes that were answered as accepted.
	Changes []Change
	// NotMade are the changes that were answered as refused or in conflict.
	NotMade []ident.Change
	// Seen are versions of the configuration that nodes were seen to have in force.
	Seen []Seen
	// Stored is what the object store had at the end; nil when it was not read.
	Stored *Stored
}
