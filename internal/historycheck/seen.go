package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Seen is the version that a node had in force at one moment.
type Seen struct {
	Incarnation ident.Incarnation
	Version     uint64
	At          time.Time
}
