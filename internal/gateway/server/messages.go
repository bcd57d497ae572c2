package server

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/clock"
	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/rendezvous"
)

// usageRecipientCount is how many nodes receive the counts of the usage report in addition to the
// leader: those that may succeed it, and one more in case nodes disagree on them.
const usageRecipientCount = maxLeaseCandidates + 1

// composeMessage returns the next message to the other nodes.
func (g *Gateway) composeMessage(detail peers.DetailLevel) *peers.Message {
	m := &peers.Message{
		Node:                g.settings.Node,
		Incarnation:         g.incarnation,
		PreviousIncarnation: g.nodeRegistry.PreviousIncarnation(),
		Sequence:            g.messageSequence.Add(1),
		Ready:               g.ready(),
		Leaving:             g.leaving.Load(),
		FrontendAddress:     g.settings.Listen.Frontend,
		ControlAddress:      g.settings.Listen.Control,
		FailureDomain:       g.settings.FailureDomain,
		LinkMbps:            g.settings.LinkMbps,
		Address:             g.peerAddress,
		ConfigVersion:       g.configuration.Version(),
		WatchesStore:        g.watchingStore.Load(),
		UpstreamChanges:     g.upstreams.Sequence(),
		StoreEra:            g.store.Era(),
		HoldsDutyLease:      g.isLeader(),
		StoreAgeMs:          g.upstreams.Age().Milliseconds(),
		Forwards:            true,
	}
	if detail == peers.Brief {
		return m
	}
	m.Spent = g.quota.Spent()
	m.Loads = ownLoads(g.balancer)
	timings, count := g.balancer.LatestTimings()
	m.Timings, m.TimingCount = profile.Pack(timings), count
	m.Crashed = g.contentGuard.entriesToShare()
	m.Suspects = g.contentGuard.partsToShare()
	m.Demand = g.demandMeter.rates()
	m.Rollouts = g.rollouts.Reports()
	if detail == peers.Full {
		m.Usage = g.usageCounter.Recent(time.Now())
	}
	return m
}

// planRound returns a function that says how the message of a round reaches each node. It also
// makes all registered nodes known to the quota ledger.
func (g *Gateway) planRound(round uint64) func(node string) peers.Delivery {
	for name := range g.nodeRegistry.Others() {
		g.quota.AddPeer(name)
	}
	alive := g.peerTable.Alive()
	routes := peers.PlanRoutes(g.settings.Node, g.settings.FailureDomain, alive, round)
	receivesUsage := g.usageRecipients(alive)
	return func(node string) peers.Delivery {
		if receivesUsage[node] {
			return routes.To(node, peers.Full)
		}
		return routes.To(node, peers.Standard)
	}
}

// usageRecipients returns the nodes that receive the counts of the usage report: only the leader
// and those that may succeed it.
func (g *Gateway) usageRecipients(alive []*peers.Peer) map[string]bool {
	out := make(map[string]bool)
	candidates := []string{g.settings.Node}
	for _, p := range alive {
		out[p.Node] = p.HoldsDutyLease
		if !p.Leaving {
			candidates = append(candidates, p.Node)
		}
	}
	for _, name := range rendezvous.TopN(leaderLeaseName, candidates, usageRecipientCount) {
		out[name] = true
	}
	return out
}

// forwardTargets returns the addresses of the live nodes of this failure domain that accept
// forwarded messages.
func (g *Gateway) forwardTargets() []string {
	var out []string
	for _, p := range g.peerTable.Alive() {
		if p.Forwards && p.FailureDomain == g.settings.FailureDomain {
			out = append(out, p.Address)
		}
	}
	return out
}

// ownLoads returns the outstanding load that this node has sent to each upstream.
func ownLoads(b *balance.Balancer) []peers.Load {
	out := []peers.Load{}
	for hash, open := range b.LocalLoads() {
		out = append(out, peers.Load{Upstream: hash, Requests: open.Requests, Prefill: open.PrefillTokens})
	}
	return out
}

// handleMessage applies a message of another node.
func (g *Gateway) handleMessage(m *peers.Message) {
	if m.Node == g.settings.Node || !g.peerTable.Update(m) {
		return
	}
	g.nodeRegistry.Update(m.Node, peers.Record{Incarnation: m.Incarnation, Address: m.Address, Control: m.ControlAddress})
	g.store.ObserveEra(m.StoreEra)
	g.relayCursor.notify(m, g.configuration.Version())
	if m.Spent != nil {
		g.quota.RecordPeer(m.Node, m.Incarnation, g.bootClockStart(m.Incarnation), m.Spent)
	}
	g.recordTimings(m)
	g.contentGuard.merge(m.Crashed)
	g.contentGuard.mergeParts(m.Suspects)
	if now := time.Now(); now.Sub(g.loadsSummedAt) >= loadSumInterval(g.nodeRegistry.Count()) {
		g.loadsSummedAt = now
		g.updatePeerLoads()
	}
}

// recordTimings learns from the timings in another node's message.
func (g *Gateway) recordTimings(m *peers.Message) {
	timings, err := profile.Unpack(m.Timings)
	if err != nil {
		g.logger.Debug("message with broken timings", "node", m.Node, "error", err)
		return
	}
	g.balancer.RecordTimings(g.timings.New(m.Node, m.Incarnation, timings, m.TimingCount))
}

// bootClockStart returns when an incarnation started, on the boot clock that the quota uses. It is
// zero if that is unknown.
func (g *Gateway) bootClockStart(incarnation string) time.Time {
	started, err := startTime(incarnation)
	if err != nil {
		return time.Time{}
	}
	return clock.Boot().Add(-time.Since(started))
}

const (
	// minLoadSumInterval is the minimum time between two sums of the nodes' outstanding load.
	minLoadSumInterval = 40 * time.Millisecond
	// loadSumsPerRound is how many such sums are made while each node sends one message.
	loadSumsPerRound = 8
)

// loadSumInterval returns the time between two sums of the nodes' outstanding load. Summing takes
// time in proportion to the nodes, and each sends a message less often at a large site.
func loadSumInterval(nodes int) time.Duration {
	return max(minLoadSumInterval, peers.Interval(nodes)/loadSumsPerRound)
}

// updatePeerLoads passes the outstanding load of the live nodes to the balancer.
func (g *Gateway) updatePeerLoads() {
	alive := g.peerTable.Alive()
	g.balancer.SetPeerLoads(sumLoads(alive), g.figuresOf(alive))
}

// figuresOf returns how old the reported load of the live nodes is.
func (g *Gateway) figuresOf(alive []*peers.Peer) balance.Figures {
	if len(alive) == 0 {
		return balance.Figures{}
	}
	var sum time.Duration
	for _, p := range alive {
		sum += g.peerTable.TimeSinceHeard(p)
	}
	nodes := len(alive)
	forwarding := (peers.PropagationInterval(nodes) - peers.Interval(nodes)) / 2
	return balance.Figures{Nodes: nodes, Age: sum/time.Duration(nodes) + forwarding}
}

// sharingNodes returns the number of nodes that share site-wide limits. It is 0 (unknown) until
// the registered nodes were listed or this process has listened for a retry window.
func (g *Gateway) sharingNodes() int {
	if !g.nodeRegistry.HasListed() && time.Since(g.startedAt) <= g.settings.Bounds.RetryWindow {
		return 0
	}
	return max(len(g.peerTable.Alive())+1, g.nodeRegistry.Count())
}

// sumLoads sums the outstanding load of the nodes for each upstream.
func sumLoads(alive []*peers.Peer) map[uint32]balance.Outstanding {
	out := make(map[uint32]balance.Outstanding)
	for _, p := range alive {
		for _, load := range p.Loads {
			sum := out[load.Upstream]
			sum.Requests += load.Requests
			sum.PrefillTokens += load.Prefill
			out[load.Upstream] = sum
		}
	}
	return out
}
