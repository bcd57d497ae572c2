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
	// dutyName is the lease that all duties of the gateway share.
	dutyName = "gateway-duties"
	// dutyCandidates is how many nodes spend calls on the lease.
	dutyCandidates = 3
	// dryAfterNotice is how long no reclaimable upstreams are ordered in a domain that
	// got a notice: the market is dry for about that long.
	dryAfterNotice = 9 * time.Second
	// dutyInterval is how often the holder looks what is due.
	dutyInterval = 300 * time.Millisecond
)

func newDuty(g *Gateway) *lease.Lease {
	return lease.New(lease.Options{
		Store:     g.store,
		Name:      dutyName,
		Holder:    ident.Incarnation(g.settings.Node + "@" + g.incarnation),
		TTL:       g.settings.Bounds.Lease,
		Candidate: g.dutyCandidate,
		Clock:     clock.Boot,
		Logger:    g.logger,
	})
}

// holdsDuty reports whether this node holds the lease of the duties.
func (g *Gateway) holdsDuty() bool {
	_, err := g.duty.Check()
	return err == nil
}

// dutyCandidate reports whether this node competes for the lease. While a live node
// says that it holds it, one other looks at it, so that the time in which it is not
// renewed is known when the holder is lost.
func (g *Gateway) dutyCandidate() bool {
	if g.leaving.Load() {
		return false
	}
	names, most := []string{g.settings.Node}, dutyCandidates
	for _, p := range g.table.Alive() {
		switch {
		case p.HoldsDuty:
			most = 1
		case !p.Leaving:
			names = append(names, p.Node)
		}
	}
	return rendezvous.InFirst(dutyName, g.settings.Node, names, most)
}

func (g *Gateway) newReporter() *usage.Reporter {
	return &usage.Reporter{
		Store:  g.store,
		Holder: g.duty,
		Send:   g.cloud.ReportUsage,
		Sum:    g.sumUsage,
		Length: g.settings.Bounds.UsageWindow,
		Now:    time.Now,
		Logger: g.logger,
	}
}

// sumUsage adds the counts of a window over all processes, dead ones included.
func (g *Gateway) sumUsage(window int64) map[string]int64 {
	out := make(map[string]int64)
	for workspace, n := range g.counter.Recent(time.Now())[window] {
		out[workspace] += n
	}
	for _, p := range g.table.All() {
		for workspace, n := range p.Usage[window] {
			out[workspace] += n
		}
	}
	return out
}

func (g *Gateway) newScaler() *scaling.Scaler {
	return &scaling.Scaler{Holder: g.duty, Send: g.sendOrder, Now: clock.Boot, Logger: g.logger, FirstStart: g.first}
}

func (g *Gateway) sendOrder(ctx context.Context, fence lease.Fence, service string, order scaling.Order) scaling.Result {
	err := g.cloud.Scale(ctx, fence, service, order.Domain, order.Reclaimable, order.Count)
	switch {
	case err == nil:
		return scaling.Accepted
	case errors.Is(err, platform.ErrNoneAvailable):
		return scaling.NoneAvailable
	case errors.Is(err, platform.ErrFenced):
		return scaling.Fenced
	}
	g.logger.Warn("order without a result", "service", service, "failure_domain", order.Domain, "error", err)
	return scaling.Unknown
}

// duties competes for the lease and does what its holder has to.
func (g *Gateway) duties(ctx context.Context) {
	go g.duty.Run(ctx)
	if g.settings.Cloud.ReportsUsage {
		go g.every(ctx, func() {
			if err := g.reporter.Step(ctx); err != nil {
				g.logger.Warn("usage not reported", "error", err)
			}
		})
	}
	go g.every(ctx, func() {
		if err := g.writeCheckpoint(ctx); err != nil {
			g.logger.Warn("quota not written down", "error", err)
		}
	})
	if g.settings.Cloud.Scales {
		go g.every(ctx, func() { g.scale(ctx) })
	}
}

func (g *Gateway) every(ctx context.Context, do func()) {
	for ctx.Err() == nil {
		do()
		wait.For(ctx, dutyInterval)
	}
}

// scale plans and orders for each service that can be scaled.
func (g *Gateway) scale(ctx context.Context) {
	config := g.configuration.Current()
	if config == nil {
		return
	}
	for _, service := range config.Services {
		if service.Scaling == nil {
			continue
		}
		prefill := g.demandOf(service.Name)
		measured := g.demand.measured(service.Name, prefill)
		g.scaler.Step(ctx, service, scaling.Inputs{
			Scaling:  *service.Scaling,
			Domains:  g.domainsOf(service),
			Prefill:  prefill,
			Measured: measured,
		})
	}
}

// demandOf adds the prompt tokens a second of a service over the live nodes.
func (g *Gateway) demandOf(service string) float64 {
	sum := g.demand.rates()[service].Prefill
	for _, p := range g.table.Alive() {
		sum += p.Demand[service].Prefill
	}
	return sum
}

func (g *Gateway) domainsOf(service site.Service) []scaling.Domain {
	view := g.upstreams.View()
	var out []scaling.Domain
	for name := range service.Scaling.DomainPrices {
		d := scaling.Domain{Name: name, Dry: g.notices.since(service.Name, name) < dryAfterNotice}
		g.countDomain(&d, view, service)
		out = append(out, d)
	}
	return out
}

// countDomain counts the upstreams that take work, or will sooner than one that starts.
func (g *Gateway) countDomain(d *scaling.Domain, view *catalog.View, service site.Service) {
	for _, u := range view.ByService[service.Name] {
		why, left := g.balancer.Closed(u)
		switch {
		case u.FailureDomain != d.Name || why == balance.Leaving || left > service.Scaling.Boot:
		case u.Reclaimable:
			d.Reclaimable++
		default:
			d.OnDemand++
		}
	}
}
