package placement

import (
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// pickAlone chooses without an owner. Two owners for a moment cost only load.
func (r *Router) pickAlone(features *routing.Features) (dispatch.Placement, error) {
	now := r.options.Now()
	taken, ok := r.fallback.ReserveWithCacheInfo(now, features)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream serves %s%s now", features.Model, features.Service).WithRetryAfter(waitForSlot)
	}
	upstream, ok := r.upstream(taken.Upstream)
	if !ok || r.Leaving(taken.Upstream) {
		r.table.RecordEnd(now, taken.Upstream, false, routing.Outcome{Kind: routing.OutcomeUnsent})
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "the chosen upstream has just left").WithRetryAfter(waitForSlot)
	}
	return &alone{router: r, upstream: upstream, cached: taken.CachedTokens}, nil
}
