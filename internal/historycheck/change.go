package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Change is a configuration change that an operator was told is accepted.
type Change struct {
	ID      ident.Change
	Version uint64
	At      time.Time
}
