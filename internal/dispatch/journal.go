package dispatch

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Journal keeps what was decided about a request, for operators.
type Journal interface {
	// Request notes one decision.
	Request(id ident.RequestID, decision, reason string)
}
