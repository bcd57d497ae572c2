package server

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/clock"
	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/rendezvous"
)

// usageCopies is how many nodes hear the counts of the usage report beside the holder
// of the duties: those that would follow it, and one more should nodes not agree on them.
const usageCopies = dutyCandidates + 1

// compose makes the next message to the other nodes.
func (g *Gateway) compose(content peers.Content) *peers.Message {
	m := &peers.Message{
		Node:          g.settings.Node,
		Incarnation:   g.incarnation,
		Previous:      g.nodes.Previous(),
		Sequence:      g.sequence.Add(1),
		Ready:         g.ready(),
		Leaving:       g.leaving.Load(),
		Front:         g.settings.Listen.Front,
		Control:       g.settings.Listen.Control,
		Domain:        g.settings.FailureDomain,
		LinkMbps:      g.settings.LinkMbps,
		Address:       g.address,
		ConfigVersion: g.configuration.Version(),
		Watching:      g.watching.Load(),
		Changes:       g.upstreams.Sequence(),
		HoldsDuty:     g.holdsDuty(),
		StoreAgeMs:    g.upstreams.Age().Milliseconds(),
	}
	if content == peers.Brief {
		return m
	}
	m.Spent = g.quota.Spent()
	m.Loads = ownLoads(g.balancer)
	m.Crashed = g.poison.crashed()
	m.Demand = g.demand.rates()
	if content == peers.Full {
		m.Usage = g.counter.Recent(time.Now())
	}
	return m
}

// wants returns what each node is told: the counts of the usage report go to the
// holder of the duties and those that may follow it.
func (g *Gateway) wants() func(node string) peers.Content {
	for name := range g.nodes.Others() {
		g.quota.Know(name)
	}
	counting := make(map[string]bool)
	names := []string{g.settings.Node}
	for _, p := range g.table.Alive() {
		counting[p.Node] = p.HoldsDuty
		if !p.Leaving {
			names = append(names, p.Node)
		}
	}
	for _, name := range rendezvous.First(dutyName, names, usageCopies) {
		counting[name] = true
	}
	return func(node string) peers.Content {
		if counting[node] {
			return peers.Full
		}
		return peers.Usual
	}
}

func ownLoads(b *balance.Balancer) []peers.Load {
	out := []peers.Load{}
	for hash, open := range b.Own() {
		out = append(out, peers.Load{Upstream: hash, Requests: open.Requests, Prefill: open.Prefill})
	}
	return out
}

// received takes over the message of another node.
func (g *Gateway) received(m *peers.Message) {
	if m.Node == g.settings.Node || !g.table.Hear(m) {
		return
	}
	g.nodes.Hear(m.Node, peers.Record{Incarnation: m.Incarnation, Address: m.Address, Control: m.Control})
	g.follower.heard(m)
	if m.Spent != nil {
		g.quota.Hear(m.Node, m.Incarnation, g.sinceBoot(m.Incarnation), m.Spent)
	}
	g.poison.hear(m.Crashed)
	if now := time.Now(); now.Sub(g.loadsSummed) >= minSumInterval {
		g.loadsSummed = now
		g.takeLoads()
	}
}

// sinceBoot returns when an incarnation started, by the clock of the quota; it is zero when
// that is not known.
func (g *Gateway) sinceBoot(incarnation string) time.Time {
	started, err := startOf(incarnation)
	if err != nil {
		return time.Time{}
	}
	return clock.Boot().Add(-time.Since(started))
}

// minSumInterval is the shortest time between two sums of what the nodes have sent:
// adding up 63 nodes takes 0.1 ms, and each tells of itself every half second.
const minSumInterval = 40 * time.Millisecond

// takeLoads hands on what the live nodes have open.
func (g *Gateway) takeLoads() {
	g.balancer.SetOthers(sumLoads(g.table.Alive()))
}

// sharers returns how many nodes share what all may do together. It is not known, and 0,
// until the registered nodes were listed or this process had a window's time to hear them.
func (g *Gateway) sharers() int {
	if !g.nodes.Listed() && time.Since(g.started) <= g.settings.Bounds.RetryWindow {
		return 0
	}
	return max(len(g.table.Alive())+1, g.nodes.Count())
}

func sumLoads(alive []*peers.Peer) map[uint32]balance.Outstanding {
	out := make(map[uint32]balance.Outstanding)
	for _, p := range alive {
		for _, load := range p.Loads {
			sum := out[load.Upstream]
			sum.Requests += load.Requests
			sum.Prefill += load.Prefill
			out[load.Upstream] = sum
		}
	}
	return out
}
