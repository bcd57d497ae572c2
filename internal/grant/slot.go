package grant

import "mangoledge.example/mangoledge/internal/ident"

// Slot is the right to run a non-idempotent request. It is taken at most once.
type Slot struct {
	Taken bool
	// Holder is the incarnation that may run the request; empty when the slot is void.
	Holder ident.Incarnation
}

// takenBy reports whether the slot was granted to holder.
func (s Slot) takenBy(holder ident.Incarnation) bool {
	return s.Taken && holder != "" && s.Holder == holder
}

// isVoid reports whether the slot was taken without a holder, so that the
// request can no longer be granted.
func (s Slot) isVoid() bool {
	return s.Taken && s.Holder == ""
}
