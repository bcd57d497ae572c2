package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
)

// Router chooses upstreams and tracks which of them are leaving.
type Router interface {
	// Pick reserves a placement. Its error is a *verdict.Error with verdict NotRun; with
	// RetryAfter above 0, the call may be repeated after it.
	Pick(ctx context.Context, req *PlacementRequest) (Placement, error)
	// Leaving reports whether the upstream is about to leave and accepts no new work.
	Leaving(upstream ident.Upstream) bool
	// MarkLeaving records that the upstream announced that it is leaving.
	MarkLeaving(upstream ident.Upstream)
}
