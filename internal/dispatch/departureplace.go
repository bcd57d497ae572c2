package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/wait"
)

// ask has a place found elsewhere, once.
func (p *departure) ask() {
	if p.asked != nil {
		return
	}
	ctx, stop := context.WithCancel(p.ctx)
	asked := make(chan Placement, 1)
	p.asked, p.stopAsk = asked, stop
	need := &Need{Spec: &p.e.spec, Tokens: len(p.e.snapshot().Tokens), Avoid: []ident.Upstream{p.upstream}, Attempt: 1}
	go func() { asked <- p.d.placeElsewhere(ctx, need) }()
}

// placeElsewhere asks for a place until there is one; nil when there will be none.
func (d *Dispatcher) placeElsewhere(ctx context.Context, need *Need) Placement {
	for ctx.Err() == nil {
		placement, err := d.options.Router.Pick(ctx, need)
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

// lookAtPlace takes over a place that was found meanwhile and reports whether there was one.
func (p *departure) lookAtPlace() bool {
	if p.asked == nil || p.target != nil {
		return false
	}
	select {
	case p.target = <-p.asked:
	default:
		return false
	}
	if p.target == nil {
		p.dropSearch()
	}
	return p.target != nil
}

// giveBack ends the search for a place and gives back the one that was found.
func (p *departure) giveBack() {
	if p.target != nil {
		p.target.Done(OutcomeMoved, 0)
	} else if p.asked != nil {
		p.stopAsk()
		go giveBackWhenFound(p.asked)
	}
	p.dropSearch()
}

func giveBackWhenFound(asked <-chan Placement) {
	if placement := <-asked; placement != nil {
		placement.Done(OutcomeMoved, 0)
	}
}

func (p *departure) dropSearch() {
	if p.stopAsk != nil {
		p.stopAsk()
	}
	p.target, p.asked, p.stopAsk = nil, nil, nil
}

// keepPlace leaves the place that was found to the request's next attempt.
func (p *departure) keepPlace() {
	if p.lookAtPlace(); p.target == nil {
		p.giveBack()
		return
	}
	p.e.reserve(p.target)
	p.dropSearch()
}
