package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// ReclaimTimes provides the reclaim times of upstreams. It is called often, so it must be fast.
type ReclaimTimes interface {
	// ReclaimAt returns when the platform reclaims the upstream's host, by the
	// platform's clock; zero when it is unknown.
	ReclaimAt(upstream ident.Upstream) time.Time
}
