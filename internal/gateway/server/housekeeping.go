package server

import (
	"context"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/wait"
)

// housekeepingInterval is how often what is over is cleared away.
const housekeepingInterval = 250 * time.Millisecond

func (g *Gateway) housekeeping(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		view := g.upstreams.View()
		g.pool.Sweep(now)
		g.upstreams.Expire()
		g.balancer.Keep(view.All)
		for _, u := range g.balancer.Reopen(view.All) {
			g.logger.Info("upstream no longer taken out", "upstream", u.ID, "born", u.Born)
		}
		g.poison.seen(view.All)
		g.poison.parole()
		g.table.Forget()
		g.takeLoads()
		g.budgets.divide()
		if config := g.configuration.Current(); config != nil {
			if n := g.idle.closeOlder(config.Limits.IdleTimeout); n > 0 {
				g.logger.Info("idle client connections closed", "count", n, "limit", config.Limits.IdleTimeout)
			}
		}
		wait.For(ctx, housekeepingInterval)
	}
}

// state is what a process tells of itself on request.
type state struct {
	Node          string           `json:"node"`
	Incarnation   string           `json:"incarnation"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	Active        int64            `json:"activeRequests"`
	ConfigVersion int64            `json:"configVersion"`
	ConfigAgeMs   int64            `json:"configAgeMs"`
	StoreAgeMs    int64            `json:"storeAgeMs"`
	Upstreams     map[string]int   `json:"upstreamsByService"`
	Nodes         []string         `json:"nodesAlive"`
	Sharers       int              `json:"nodesSharingRepeats"`
	Holder        string           `json:"dutyHolder"`
	QuotaBegun    bool             `json:"quotaBegun"`
	Spent         map[string]int64 `json:"quotaSpent"`
}

func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	out := state{
		Node:          g.settings.Node,
		Incarnation:   g.incarnation,
		Ready:         g.ready(),
		Leaving:       g.leaving.Load(),
		Active:        g.active.Load(),
		ConfigVersion: g.configuration.Version(),
		ConfigAgeMs:   g.configuration.Age(time.Now()).Milliseconds(),
		StoreAgeMs:    g.upstreams.Age().Milliseconds(),
		Sharers:       g.sharers(),
		Upstreams:     make(map[string]int),
		Holder:        string(g.duty.Seen().Holder),
		QuotaBegun:    g.quota.Begun(),
		Spent:         make(map[string]int64),
	}
	for service, list := range g.upstreams.View().ByService {
		out.Upstreams[service] = len(list)
	}
	for _, p := range g.table.Alive() {
		out.Nodes = append(out.Nodes, p.Node)
	}
	for workspace, units := range g.quota.Spent() {
		out.Spent[workspace] = int64(units)
	}
	g.writeJSON(w, out)
}
