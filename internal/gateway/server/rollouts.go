package server

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/gateway/rollout"
	"mangoledge.example/mangoledge/internal/lease"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/wait"
	"mangoledge.example/mangoledge/platform"
)

const (
	// rolloutInterval is how often a node judges the versions of rollouts.
	rolloutInterval = 200 * time.Millisecond
	// moveSettleRounds is how many rounds of messages other nodes are given to follow a move.
	moveSettleRounds = 3
)

// newRollouts returns the rollouts of the site, or nil where versions are not ordered.
func newRollouts(g *Gateway) *rollout.Rollouts {
	if !g.settings.HasRollouts {
		return nil
	}
	return rollout.New(rollout.Options{
		Decode: platform.DecodeRollout,
		Share:  g.settings.Bounds.ExposureShare,
		Slack:  g.settings.Bounds.ExposureSlack,
		Now:    time.Now,
		Logger: g.logger,
	})
}

// runRollouts judges the versions of rollouts until ctx ends, and carries the orders out while this
// node holds the lease.
func (g *Gateway) runRollouts(ctx context.Context) {
	for ctx.Err() == nil {
		if active, _ := g.rollouts.CountActive(); active > 0 {
			g.rollouts.Evaluate(g.rolloutReports(), g.sharingNodes(), g.upstreams.View().ByService)
		}
		g.leadRollouts(ctx)
		wait.For(ctx, rolloutInterval)
	}
}

// rolloutReports returns what the other processes told of rollouts, including those that have ended.
func (g *Gateway) rolloutReports() []rollout.PeerReport {
	leads := make(map[string]bool)
	for _, p := range g.peerTable.Alive() {
		leads[p.Incarnation] = p.HoldsDutyLease
	}
	var out []rollout.PeerReport
	for _, p := range g.peerTable.All() {
		for i := range p.Rollouts {
			out = append(out, rollout.PeerReport{Report: p.Rollouts[i], Age: g.peerTable.TimeSinceHeard(p), Leads: leads[p.Incarnation]})
		}
	}
	return out
}

// leadRollouts takes the next step of each order if this node holds the lease.
func (g *Gateway) leadRollouts(ctx context.Context) {
	fence, err := g.leaderLease.Check()
	for _, d := range g.rollouts.Duties() {
		if err != nil {
			g.rollouts.LeadMove(d.Order.Service, false)
			continue
		}
		g.fillProgress(&d.Progress, fence)
		action := rollout.Decide(&d.Progress)
		// Requests go on moving until the store has the order's end.
		g.rollouts.LeadMove(d.Order.Service, action == rollout.Move || action == rollout.Complete)
		switch action {
		case rollout.Claim:
			g.writeRollout(ctx, &d, rollout.InProgress, fence)
		case rollout.Complete:
			g.writeRollout(ctx, &d, rollout.Completed, fence)
		case rollout.RollBack:
			g.writeRollout(ctx, &d, rollout.RolledBack, fence)
		case rollout.Hold, rollout.Move:
		}
	}
}

// fillProgress adds what this node knows of a service's upstreams.
func (g *Gateway) fillProgress(p *rollout.Progress, fence lease.Fence) {
	p.Fence = uint64(fence)
	p.Settle = max(rollout.MinSettle, moveSettleRounds*peers.PropagationInterval(g.nodeRegistry.Count()))
	for _, u := range g.upstreams.View().ByService[p.Order.Service] {
		if g.rollouts.IsNew(&u) {
			p.NewSlots += u.Slots
			continue
		}
		p.OldSlots += u.Slots
		p.OldOpen += g.balancer.Outstanding(u.ID)
	}
}

// writeRollout writes the state of an order, on the condition that its entry is as last seen. An answer
// that is lost is settled by reading the entry again.
func (g *Gateway) writeRollout(ctx context.Context, d *rollout.Duty, state rollout.State, fence lease.Fence) {
	object := d.Object
	object.Kind = platform.KindRollouts
	status, err := platform.RolloutStatus(state, d.Order.Target, uint64(fence))
	if err != nil {
		g.logger.Error("rollout not written", "service", d.Order.Service, "error", err)
		return
	}
	object.Status = status
	stored, err := g.store.UpdateStatus(ctx, object)
	if current, found := objects.CurrentOf(err); found {
		stored = current
	}
	if objects.KindOf(err) == objects.KindUnknown || objects.KindOf(err) == objects.KindConflict && stored.Metadata.Name == "" {
		var readErr error
		if stored, readErr = g.store.Get(ctx, platform.KindRollouts, d.Order.Service); readErr != nil {
			g.logger.Warn("rollout not read back", "service", d.Order.Service, "error", readErr)
		}
	}
	if stored.Metadata.Name != "" {
		g.applyRolloutChange(func() bool { return g.rollouts.Put(stored) })
	}
	result := "written"
	if err != nil {
		result = "failed"
	}
	name := projectmetrics.Name("gateway.rollout_writes_total",
		projectmetrics.Label{Name: "state", Value: state.String()}, projectmetrics.Label{Name: "result", Value: result})
	metrics.GetOrRegisterCounter(name, g.registry).Inc(1)
	g.logger.Info("rollout state written", "service", d.Order.Service, "target", d.Order.Target, "state", state.String(),
		"fence", fence, "after", d.Elapsed, "answers", d.Answers, "old_open", d.OldOpen, "moving", d.Moving, "error", err)
}

// rolloutFollower returns the follower of the orders in the store.
func (g *Gateway) rolloutFollower() *objects.Follower {
	return &objects.Follower{
		Store: g.store, Kind: platform.KindRollouts, MaxBackoff: maxStoreBackoff,
		OnObject: func(object objects.Object) { g.applyRolloutChange(func() bool { return g.rollouts.Put(object) }) },
		OnDeleted: func(object objects.Object) {
			g.applyRolloutChange(func() bool { return g.rollouts.Remove(object) })
		},
		OnList:     func(list objects.List) { g.applyRolloutChange(func() bool { return g.rollouts.Replace(list) }) },
		OnBookmark: g.rollouts.RecordVersion,
		OnError:    g.logStoreFailure("rollouts"),
	}
}

// applyRolloutChange runs change and has the nodes that follow this one fetch the orders if it changed
// any.
func (g *Gateway) applyRolloutChange(change func() bool) {
	if change() {
		g.upstreams.Touch()
		g.exchange.SendNow()
	}
}

// loadRollouts reads the orders once, so that a starting process knows them before the upstreams.
func (g *Gateway) loadRollouts(ctx context.Context) error {
	if g.rollouts == nil {
		return nil
	}
	list, err := g.store.List(ctx, platform.KindRollouts)
	if err == nil {
		g.applyRolloutChange(func() bool { return g.rollouts.Replace(list) })
	}
	return err
}

// rolloutList returns the orders for a node that follows this one, or nil if none were read.
func (g *Gateway) rolloutList() *objects.List {
	if g.rollouts == nil {
		return nil
	}
	list := g.rollouts.List()
	if list.Metadata.ResourceVersion == 0 {
		return nil
	}
	return &list
}

// applyRolloutList applies the orders of a node that this one follows.
func (g *Gateway) applyRolloutList(list *objects.List) {
	if g.rollouts == nil || list == nil {
		return
	}
	for i := range list.Items {
		list.Items[i].Kind = platform.KindRollouts
	}
	g.applyRolloutChange(func() bool { return g.rollouts.Replace(*list) })
}
