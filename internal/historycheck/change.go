package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Change is a configuration change that was reported to an operator as accepted.
type Change struct {
	ID ident.Change
	// Version is the configuration version that the change produced.
	Version uint64
	// At is when the operator received the report.
	At time.Time
}
