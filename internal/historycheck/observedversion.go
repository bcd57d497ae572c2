package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// ObservedVersion is an observation of the configuration version in force on a node.
type ObservedVersion struct {
	Incarnation ident.Incarnation
	Version     uint64
	At          time.Time
}
