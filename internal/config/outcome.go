package config

import (
	"fmt"

	"mangoledge.example/mangoledge/internal/ident"
)

// OutcomeKind is the kind of a proposal's outcome.
type OutcomeKind string

// The outcomes of a proposal.
const (
	// OutcomeAccepted means that the change is stored and will come into force on all nodes.
	OutcomeAccepted OutcomeKind = "accepted"
	// OutcomeRefused means that the change was not applied because it is invalid.
	OutcomeRefused OutcomeKind = "refused"
	// OutcomeConflict means that the change was not applied because another change
	// was applied to its base version.
	OutcomeConflict OutcomeKind = "conflict"
	// OutcomeUnknown means that it is not known whether the change was applied;
	// sending the same change again is safe.
	OutcomeUnknown OutcomeKind = "unknown"
)

// Fault is one validation error of a proposal.
type Fault struct {
	// Path is the invalid field, such as "model/m1/replicas".
	Path string `json:"path"`
	// Value is the value that was given.
	Value string `json:"value"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}

// String returns the fault as a sentence.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not %s", f.Path, f.Value, f.Allowed)
}

// Outcome is the result of a proposal.
type Outcome struct {
	Kind   OutcomeKind  `json:"kind"`
	Change ident.Change `json:"change"`
	// Version is the version that the change created, when accepted.
	Version uint64 `json:"version,omitempty"`
	// Faults are the reasons why the change was refused.
	Faults []Fault `json:"faults,omitempty"`
	// ConflictingChanges are the changes that were applied first, when in conflict, oldest first.
	ConflictingChanges []ChangeRecord `json:"won,omitempty"`
	// Reason says why the outcome is unknown, or that ConflictingChanges is incomplete; otherwise empty.
	Reason string `json:"reason,omitempty"`
}
