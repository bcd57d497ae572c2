package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
)

// Router chooses upstreams.
type Router interface {
	// Pick reserves a place. Its error is a *verdict.Error with verdict NotRun;
	// one with RetryAfter above 0 may be asked again then.
	Pick(ctx context.Context, need *Need) (Placement, error)
	// Leaving reports whether the upstream takes no new work.
	Leaving(upstream ident.Upstream) bool
	// MarkLeaving tells that the upstream said it is leaving.
	MarkLeaving(upstream ident.Upstream)
}
