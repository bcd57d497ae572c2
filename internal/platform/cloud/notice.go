package cloud

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Notice announces that the platform reclaims a host.
type Notice struct {
	// Sequence increases by one with each notice.
	Sequence      uint64              `json:"sequence"`
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	// ReclaimAtMs is when the host is reclaimed, in Unix milliseconds.
	ReclaimAtMs int64 `json:"reclaimAtMs"`
}
