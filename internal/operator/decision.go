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

// Winner is a change that came first.
type Winner struct {
	Change ident.Change
	// Version is the version that it made, or 0 when that is not known.
	Version uint64
	// Summary says what it changed, in the operators' language.
	Summary string
}

// Decision is what became of a change.
type Decision struct {
	Outcome Outcome
	// Version is the version made by an accepted change of the configuration, or 0.
	Version uint64
	// Won are the changes that came first in a conflict, oldest first.
	Won []Winner
	// Reason is a sentence for a person.
	Reason string
}
