package config

import (
	"fmt"

	"mangoledge.example/mangoledge/internal/ident"
)

// OutcomeKind says what became of a proposal.
type OutcomeKind string

// The outcomes of a proposal.
const (
	// OutcomeAccepted means that the change is kept and will be in force everywhere.
	OutcomeAccepted OutcomeKind = "accepted"
	// OutcomeRefused means that the change was not made, for its own faults.
	OutcomeRefused OutcomeKind = "refused"
	// OutcomeConflict means that the change was not made, since another was made first.
	OutcomeConflict OutcomeKind = "conflict"
	// OutcomeUnknown means that nobody can tell yet; the same change can be sent again.
	OutcomeUnknown OutcomeKind = "unknown"
)

// Fault is one thing that is wrong with a proposal.
type Fault struct {
	// Path is the field at fault, such as "models/m1/replicas".
	Path string `json:"path"`
	// Value is what was given.
	Value string `json:"value"`
	// Allowed says what may be given.
	Allowed string `json:"allowed"`
}

// String returns the fault as a sentence.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not %s", f.Path, f.Value, f.Allowed)
}

// Outcome is what became of a proposal.
type Outcome struct {
	Kind   OutcomeKind  `json:"kind"`
	Change ident.Change `json:"change"`
	// Version is the version that the change made, when accepted.
	Version uint64 `json:"version,omitempty"`
	// Faults are why the change was refused.
	Faults []Fault `json:"faults,omitempty"`
	// Won are the changes made first, when in conflict, oldest first.
	Won []ChangeRecord `json:"won,omitempty"`
	// Reason says why the outcome is unknown, or empty.
	Reason string `json:"reason,omitempty"`
}
