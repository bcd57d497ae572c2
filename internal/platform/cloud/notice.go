package cloud

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Notice is a reclaim notice.
type Notice struct {
	// Sequence grows by one with each notice.
	Sequence      uint64              `json:"sequence"`
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	// ReclaimAtMs is when the host is taken, in Unix milliseconds.
	ReclaimAtMs int64 `json:"reclaimAtMs"`
}
