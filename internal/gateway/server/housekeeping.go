package server

import (
	"context"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/wait"
)

// housekeepingInterval is how often expired state is cleaned up.
const housekeepingInterval = 250 * time.Millisecond

// housekeeping cleans up expired state and closes idle client connections until ctx ends.
func (g *Gateway) housekeeping(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		view := g.upstreams.View()
		g.pool.CloseExpired(now)
		g.upstreams.RemoveExpired()
		g.balancer.PruneStates(view.All)
		for _, u := range g.balancer.PruneAnnouncements(view.All) {
			g.logger.Info("upstream no longer taken out", "upstream", u.ID, "born", u.StartedAt)
		}
		g.reportSpeeds()
		g.contentGuard.observeUpstreams(view.All)
		g.contentGuard.releaseExpired()
		g.peerTable.RemoveExpired()
		g.updatePeerLoads()
		g.retryBudgets.updateNodeShare()
		g.logIngressRefusals()
		if config := g.configuration.Current(); config != nil {
			if n := g.idleConns.closeIdle(config.Limits.IdleTimeout); n > 0 {
				g.logger.Info("idle client connections closed", "count", n, "limit", config.Limits.IdleTimeout)
			}
		}
		wait.For(ctx, housekeepingInterval)
	}
}

// stateResponse is the response to a request for a process's state.
type stateResponse struct {
	Node          string           `json:"node"`
	Incarnation   string           `json:"incarnation"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	Active        int64            `json:"activeRequests"`
	ConfigVersion int64            `json:"configVersion"`
	ConfigAgeMs   int64            `json:"configAgeMs"`
	StoreAgeMs    int64            `json:"storeAgeMs"`
	StoreOutages  int64            `json:"storeOutages"`
	WatchesStore  bool             `json:"watchesStore"`
	Upstreams     map[string]int   `json:"upstreamsByService"`
	Nodes         []string         `json:"nodesAlive"`
	Sharers       int              `json:"nodesSharingRepeats"`
	Holder        string           `json:"dutyHolder"`
	QuotaBegun    bool             `json:"quotaBegun"`
	Spent         map[string]int64 `json:"quotaSpent"`
}

// serveState responds with the state of this process.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	out := stateResponse{
		Node:          g.settings.Node,
		Incarnation:   g.incarnation,
		Ready:         g.ready(),
		Leaving:       g.leaving.Load(),
		Active:        g.activeRequests.Load(),
		ConfigVersion: g.configuration.Version(),
		ConfigAgeMs:   g.configuration.Age(time.Now()).Milliseconds(),
		StoreAgeMs:    g.upstreams.Age().Milliseconds(),
		StoreOutages:  g.upstreams.Outages(),
		WatchesStore:  g.watchingStore.Load(),
		Sharers:       g.sharingNodes(),
		Upstreams:     make(map[string]int),
		Holder:        string(g.leaderLease.LastRecord().Holder),
		QuotaBegun:    g.quota.Started(),
		Spent:         make(map[string]int64),
	}
	for service, list := range g.upstreams.View().ByService {
		out.Upstreams[service] = len(list)
	}
	for _, p := range g.peerTable.Alive() {
		out.Nodes = append(out.Nodes, p.Node)
	}
	for workspace, units := range g.quota.Spent() {
		out.Spent[workspace] = int64(units)
	}
	g.writeJSON(w, out)
}
