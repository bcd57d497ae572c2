package operator

import "mangoledge.example/mangoledge/internal/ident"

// Outcome is the result of a command.
type Outcome string

// The outcomes.
const (
	// OutcomeNone is the outcome of commands that change nothing.
	OutcomeNone     Outcome = "none"
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown means that the change may or may not have been made; sending the command
	// again with the same change ID is safe and may give its outcome.
	OutcomeUnknown Outcome = "unknown"
)

// ConflictingChange is an earlier change that another change conflicts with.
type ConflictingChange struct {
	Change ident.Change
	// Version is the configuration version that it made, or 0 if that is not known.
	Version uint64
	// Summary describes the change in the operators' language.
	Summary string
}

// Decision is the outcome of a command, with its details.
type Decision struct {
	Outcome Outcome
	// Version is the configuration version made by an accepted change, or 0.
	Version uint64
	// ConflictingChanges holds the changes that the command conflicts with, oldest first.
	ConflictingChanges []ConflictingChange
	// Reason explains the outcome to an operator.
	Reason string
}
