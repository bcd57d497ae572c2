package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/wait"
)

// startSearch starts a search for a placement at another upstream, unless one has started.
func (m *migration) startSearch() {
	if m.found != nil {
		return
	}
	ctx, stop := context.WithCancel(m.ctx)
	found := make(chan Placement, 1)
	m.found, m.stopSearch = found, stop
	spec := m.e.spec // the search may outlast the worker that drops the entry's input
	req := &PlacementRequest{Spec: &spec, Tokens: len(m.e.snapshot().Tokens), Avoid: []ident.Upstream{m.upstream}, Attempt: 1}
	go func() { found <- m.d.searchPlacement(ctx, req) }()
}

// searchPlacement asks the router until it returns a placement. It returns nil when
// ctx ends or the router's refusal is permanent.
func (d *Dispatcher) searchPlacement(ctx context.Context, req *PlacementRequest) Placement {
	for ctx.Err() == nil {
		placement, err := d.options.Router.Pick(ctx, req)
		if err == nil {
			return placement
		}
		refusal := verdict.From(err)
		if refusal.RetryAfter <= 0 {
			return nil
		}
		wait.For(ctx, refusal.RetryAfter)
	}
	return nil
}

// checkSearch stores the placement that the search has found, and reports whether it
// found one since the last call.
func (m *migration) checkSearch() bool {
	if m.found == nil || m.target != nil {
		return false
	}
	select {
	case m.target = <-m.found:
	default:
		return false
	}
	if m.target == nil {
		m.clearSearch()
	}
	return m.target != nil
}

// releasePlacement ends the search and releases the placement that was found.
func (m *migration) releasePlacement() {
	if m.target != nil {
		m.target.Release(OutcomeMoved, 0)
	} else if m.found != nil {
		m.stopSearch()
		go releaseWhenFound(m.found)
	}
	m.clearSearch()
}

func releaseWhenFound(found <-chan Placement) {
	if placement := <-found; placement != nil {
		placement.Release(OutcomeMoved, 0)
	}
}

func (m *migration) clearSearch() {
	if m.stopSearch != nil {
		m.stopSearch()
	}
	m.target, m.found, m.stopSearch = nil, nil, nil
}

// reservePlacement keeps the placement that was found for the request's next attempt.
func (m *migration) reservePlacement() {
	if m.checkSearch(); m.target == nil {
		m.releasePlacement()
		return
	}
	m.e.reserve(m.target)
	m.clearSearch()
}
