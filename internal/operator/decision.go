package operator

import "mangoledge.example/mangoledge/internal/ident"

// Outcome is what became of a command.
type Outcome string

// The outcomes.
const (
	// OutcomeNone is the outcome of commands that change nothing.
	OutcomeNone     Outcome = "none"
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown means that nobody can tell yet; the command may be sent again with its change ID.
	OutcomeUnknown Outcome = "unknown"
)

// Winner is the change that came first.
type Winner struct {
	Change  ident.Change
	Version uint64
}

// Decision is what became of a change.
type Decision struct {
	Outcome Outcome
	// Version is the version made by an accepted change of the configuration, or 0.
	Version uint64
	// Won is set for a conflict.
	Won *Winner
	// Reason is a sentence for a person.
	Reason string
}
