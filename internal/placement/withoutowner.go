package placement

import (
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// pickWithoutOwner chooses an upstream from this node's own table, without a
// reservation. Nodes that place requests independently may overload an upstream for
// a while, but cause no incorrect results.
func (r *Router) pickWithoutOwner(features *routing.Features) (dispatch.Placement, error) {
	now := r.options.Now()
	choice, ok := r.fallback.ReserveWithCacheInfo(now, features)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream serves %s%s now", features.Model, features.Service).WithRetryAfter(retryAfterNoSlot)
	}
	upstream, ok := r.upstream(choice.Upstream)
	if !ok || r.Leaving(choice.Upstream) {
		r.table.RecordEnd(now, choice.Upstream, false, routing.Outcome{Kind: routing.OutcomeUnsent})
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "the chosen upstream has just left").WithRetryAfter(retryAfterNoSlot)
	}
	return &unreservedPlacement{router: r, upstream: upstream, cachedTokens: choice.CachedTokens}, nil
}
