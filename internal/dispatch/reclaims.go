package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Reclaims tells when upstreams are taken away. It is asked often.
type Reclaims interface {
	// ReclaimAt returns when the upstream's host is taken away, by the platform's
	// clock; zero while nobody has said.
	ReclaimAt(upstream ident.Upstream) time.Time
}
