package fleet

import (
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// LeavingView shows the upstreams of another view, those that are marked as leaving.
type LeavingView struct {
	upstreams View
	leaving   *Leaving
}

var _ View = (*LeavingView)(nil)

// NewLeavingView returns upstreams with the marks of leaving.
func NewLeavingView(upstreams View, leaving *Leaving) *LeavingView {
	return &LeavingView{upstreams: upstreams, leaving: leaving}
}

// Upstreams implements View.
func (v *LeavingView) Upstreams() []Upstream {
	all := v.upstreams.Upstreams()
	v.leaving.mu.RLock()
	defer v.leaving.mu.RUnlock()
	if len(v.leaving.marks) == 0 && len(v.leaving.declared) == 0 {
		return all
	}
	now := v.leaving.now()
	marked := slices.Clone(all)
	for i := range marked {
		if marked[i].State != StateGone && v.leaving.isLeaving(&marked[i], now) {
			marked[i].State = StateLeaving
		}
	}
	return marked
}

// ReclaimAt returns when the host of an upstream is taken away, by the
// platform's clock; zero while nobody has said.
func (v *LeavingView) ReclaimAt(id ident.Upstream) time.Time {
	upstreams := v.upstreams.Upstreams()
	for i := range upstreams {
		if upstreams[i].ID == id {
			return v.leaving.ReclaimAt(upstreams[i])
		}
	}
	return time.Time{}
}
