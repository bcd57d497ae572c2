package fleet

import "slices"

// LeavingView wraps another View and shows the upstreams that are marked or drained in
// StateLeaving.
type LeavingView struct {
	upstreams View
	leaving   *LeavingMarks
}

var _ View = (*LeavingView)(nil)

// NewLeavingView returns a view of upstreams with the marks and drains of leaving applied.
func NewLeavingView(upstreams View, leaving *LeavingMarks) *LeavingView {
	return &LeavingView{upstreams: upstreams, leaving: leaving}
}

// Upstreams implements View.
func (v *LeavingView) Upstreams() []Upstream {
	all := v.upstreams.Upstreams()
	v.leaving.mu.RLock()
	defer v.leaving.mu.RUnlock()
	if len(v.leaving.marks) == 0 && len(v.leaving.drains) == 0 {
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
