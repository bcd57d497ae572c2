package dispatch

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Journal stores decisions about requests for operators.
type Journal interface {
	// Request stores one decision about a request.
	Request(id ident.RequestID, decision, reason string)
}
