package grant

import "mangoledge.example/mangoledge/internal/ident"

// Slot is the right to run a non-idempotent request. It is taken at most once.
type Slot struct {
	Taken bool
	// Holder is who may run the request; empty when the slot was taken for nobody.
	Holder ident.Incarnation
}

// takenBy reports whether holder has the right to run the request.
func (s Slot) takenBy(holder ident.Incarnation) bool {
	return s.Taken && holder != "" && s.Holder == holder
}

// void reports whether the slot was taken for nobody.
func (s Slot) void() bool {
	return s.Taken && s.Holder == ""
}
