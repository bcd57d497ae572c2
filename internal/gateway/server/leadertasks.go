package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/clock"
	"mangoledge.example/mangoledge/internal/gateway/scaling"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/gateway/usage"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/rendezvous"
	"mangoledge.example/mangoledge/internal/wait"
	"mangoledge.example/mangoledge/platform"
)

const (
	// leaderLeaseName is the lease whose holder runs all leader tasks of the gateway.
	leaderLeaseName = "gateway-duties"
	// maxLeaseCandidates limits how many nodes call the store for the lease.
	maxLeaseCandidates = 3
	// reclaimableCooldown is how long after a reclaim notice no reclaimable upstreams are ordered
	// in a failure domain: none are available for about that long.
	reclaimableCooldown = 9 * time.Second
	// leaderTaskInterval is how often the leader checks which tasks are due.
	leaderTaskInterval = 300 * time.Millisecond
)

// newLeaderLease returns the lease that this node competes for while it is a candidate.
func newLeaderLease(g *Gateway) *lease.Lease {
	return lease.New(lease.Options{
		Store:     g.store,
		Name:      leaderLeaseName,
		Holder:    ident.Incarnation(g.settings.Node + "@" + g.incarnation),
		TTL:       g.settings.Bounds.Lease,
		Candidate: g.isLeaseCandidate,
		Clock:     clock.Boot,
		Logger:    g.logger,
		// Apply to clouds that do not check fencing numbers.
		OrderTimeout: platform.CloudTimeout,
		HandoverWait: g.settings.Bounds.Lease,
	})
}

// orderHolder checks whether this node may send calls to the cloud API, and returns its fence.
type orderHolder interface {
	Check() (lease.Fence, error)
}

// cloudHolder returns the check for this site's cloud API. Where that does not compare fencing
// numbers, it also waits until calls of the previous holder cannot arrive any more.
func (g *Gateway) cloudHolder() orderHolder {
	if g.settings.Cloud.ChecksFencing {
		return g.leaderLease
	}
	return lease.Unfenced{Lease: g.leaderLease}
}

// mayOrder returns an error unless this node may still send calls to the cloud API with a fence
// that it was given before.
func (g *Gateway) mayOrder(fence lease.Fence) error {
	now, err := g.cloudHolder().Check()
	if err == nil && now != fence {
		return errors.Wrapf(lease.ErrNotHeld, "with fencing number %d; it is %d now", fence, now)
	}
	return err
}

// isLeader reports whether this node holds the leader lease.
func (g *Gateway) isLeader() bool {
	_, err := g.leaderLease.Check()
	return err == nil
}

// isLeaseCandidate reports whether this node competes for the lease. While a live node says that
// it holds the lease, only one other node is a candidate. That node follows the renewals, so that
// it already knows how long the lease has not been renewed when the holder is lost.
func (g *Gateway) isLeaseCandidate() bool {
	if g.leaving.Load() {
		return false
	}
	if time.Since(g.startedAt) < startupListenTime {
		return g.isFirstRegistered(leaderLeaseName, maxLeaseCandidates)
	}
	candidates, limit := []string{g.settings.Node}, maxLeaseCandidates
	for _, p := range g.peerTable.Alive() {
		switch {
		case p.HoldsDutyLease:
			limit = 1
		case !p.Leaving:
			candidates = append(candidates, p.Node)
		}
	}
	return rendezvous.IsInTopN(leaderLeaseName, g.settings.Node, candidates, limit)
}

// newReporter returns the reporter of usage to the platform.
func (g *Gateway) newReporter() *usage.Reporter {
	return &usage.Reporter{
		Store:        g.store,
		Holder:       g.cloudHolder(),
		Send:         g.cloud.ReportUsage,
		Sum:          g.sumUsage,
		LostBefore:   g.reportsLostBefore,
		WindowLength: g.settings.Bounds.UsageWindow,
		Now:          time.Now,
		Logger:       g.logger,
	}
}

// sumUsage sums the counts of a window over all processes, including dead ones.
func (g *Gateway) sumUsage(window int64) map[string]int64 {
	out := make(map[string]int64)
	for workspace, n := range g.usageCounter.Recent(time.Now())[window] {
		out[workspace] += n
	}
	for _, p := range g.peerTable.All() {
		for workspace, n := range p.Usage[window] {
			out[workspace] += n
		}
	}
	return out
}

// newScaler returns the scaler of the services.
func (g *Gateway) newScaler() *scaling.Scaler {
	return &scaling.Scaler{Holder: g.cloudHolder(), Send: g.sendScalingOrder, Now: clock.Boot, Logger: g.logger, FirstStart: g.isFirstStart}
}

// sendScalingOrder sends a scaling order to the platform's cloud.
func (g *Gateway) sendScalingOrder(ctx context.Context, fence lease.Fence, service string, order scaling.Order) scaling.Result {
	err := g.cloud.Scale(ctx, fence, service, order.Domain, order.Reclaimable, order.Count)
	switch {
	case err == nil:
		return scaling.Accepted
	case errors.Is(err, platform.ErrCapacityUnavailable):
		return scaling.NoneAvailable
	case errors.Is(err, platform.ErrFenced):
		return scaling.Fenced
	}
	g.logger.Warn("scaling order has no known result", "service", service, "failure_domain", order.Domain, "error", err)
	return scaling.Unknown
}

// runLeaderTasks competes for the lease and runs the tasks of the leader until ctx ends.
func (g *Gateway) runLeaderTasks(ctx context.Context) {
	go g.leaderLease.Run(ctx)
	if g.settings.Cloud.ReportsUsage {
		go g.runPeriodically(ctx, func() {
			if err := g.usageReporter.ReportDue(ctx); err != nil {
				g.logger.Warn("failed to report usage", "error", err)
			}
		})
	}
	go g.runPeriodically(ctx, func() {
		if err := g.writeCheckpoint(ctx); err != nil {
			g.logger.Warn("failed to write checkpoint", "error", err)
		}
	})
	if g.settings.Cloud.ScalesServices {
		go g.runPeriodically(ctx, func() { g.scaleServices(ctx) })
	}
}

// runPeriodically calls do every leaderTaskInterval until ctx ends.
func (g *Gateway) runPeriodically(ctx context.Context, do func()) {
	for ctx.Err() == nil {
		do()
		wait.For(ctx, leaderTaskInterval)
	}
}

// scaleServices plans and orders upstreams for each service that has scaling settings.
func (g *Gateway) scaleServices(ctx context.Context) {
	config := g.configuration.Current()
	if config == nil {
		return
	}
	for _, service := range config.Services {
		if service.Scaling == nil {
			continue
		}
		prefill := g.prefillDemand(service.Name)
		measured := g.demandMeter.isRateReliable(service.Name, prefill)
		in := scaling.Inputs{
			Scaling:       *service.Scaling,
			Domains:       g.scalingDomains(service),
			PrefillDemand: prefill,
			LatencyRatio:  g.latencyRatio(),
			Measured:      measured,
		}
		g.addSpeeds(&in, service)
		g.scaler.SendOrders(ctx, service, in)
	}
}

// addSpeeds adds what is known of the speed and load of a service's upstreams.
func (g *Gateway) addSpeeds(in *scaling.Inputs, service site.Service) {
	capacity := g.balancer.Capacity(service.Name, g.upstreams.View().ByService[service.Name])
	in.PrefillRate, in.MeanSpeed, in.OpenRequests = capacity.PrefillRate, capacity.MeanSpeed, capacity.OpenRequests
	if service.Engine != nil {
		in.Slots = service.Engine.Slots
	}
}

// latencyRatio returns the latency ratio of engines as seen by this node, or 0 while it is unknown.
func (g *Gateway) latencyRatio() float64 {
	ratio, ok := g.balancer.LatencyRatio()
	if !ok {
		return 0
	}
	return ratio
}

// prefillDemand sums the prompt tokens per second of a service over the live nodes.
func (g *Gateway) prefillDemand(service string) float64 {
	sum := g.demandMeter.rates()[service].Prefill
	for _, p := range g.peerTable.Alive() {
		sum += p.Demand[service].Prefill
	}
	return sum
}

// scalingDomains returns the failure domains in which a service can be scaled, with their
// upstreams counted.
func (g *Gateway) scalingDomains(service site.Service) []scaling.Domain {
	view := g.upstreams.View()
	var out []scaling.Domain
	for name := range service.Scaling.DomainPrices {
		d := scaling.Domain{Name: name, ReclaimableUnavailable: g.reclaimNotices.sinceLast(service.Name, name) < reclaimableCooldown}
		g.countUpstreams(&d, view, service)
		out = append(out, d)
	}
	return out
}

// countUpstreams counts the upstreams of a failure domain that accept work or will do so before a
// newly started one would.
func (g *Gateway) countUpstreams(d *scaling.Domain, view *catalog.View, service site.Service) {
	for _, u := range g.rollouts.Serving(service.Name, view.ByService[service.Name]) {
		why, left := g.balancer.Availability(u)
		switch {
		case u.FailureDomain != d.Name || why == balance.Leaving || left > service.Scaling.BootTime:
		case u.Reclaimable:
			d.Reclaimable++
		default:
			d.OnDemand++
		}
	}
}
