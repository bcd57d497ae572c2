package peers

import (
	"cmp"
	"slices"

	"mangoledge.example/mangoledge/internal/rendezvous"
)

const (
	// maxDirectNodes is the size of a site up to which each node sends its state to all others
	// itself.
	maxDirectNodes = 16
	// minRelays is how many nodes of another failure domain at least forward messages there, in
	// turn: while one of them is unreachable, two of three rounds still arrive.
	minRelays = 3
	// relayLinkMbps is the link speed from which minRelays nodes can forward what a whole domain
	// sends: about 10 Mbit/s. Where too few links are as fast, one of relayNodes nodes is a relay.
	relayLinkMbps = 100
	relayNodes    = 3
)

// Delivery is how a round's message reaches one node.
type Delivery struct {
	// Skip is true if another node forwards the message.
	Skip bool
	// Forward asks the receiver to forward the message within its failure domain.
	Forward bool
	Detail  DetailLevel
}

// Routes says which nodes receive a node's messages directly in a round: those of its own failure
// domain, one relay of each other domain, and all nodes that cannot be reached through relays. So
// what a node sends across domains does not grow with their size.
type Routes struct {
	// skipped holds the nodes that relays forward to, relays the relays of this round.
	skipped, relays map[string]bool
}

// PlanRoutes returns the routes of a node in a round, given the nodes that it has heard from
// recently.
func PlanRoutes(node, failureDomain string, alive []*Peer, round uint64) Routes {
	routes := Routes{skipped: make(map[string]bool), relays: make(map[string]bool)}
	if len(alive) < maxDirectNodes {
		return routes
	}
	members := make(map[string][]*Peer)
	for _, p := range alive {
		if p.Forwards && p.FailureDomain != failureDomain {
			members[p.FailureDomain] = append(members[p.FailureDomain], p)
		}
	}
	for domain, peers := range members {
		relays := relaysOf(failureDomain+"/"+domain, peers)
		if len(relays) < minRelays {
			continue
		}
		// Nodes take turns in a different order, so that relays have equal shares in each round.
		relay := relays[(round+rendezvous.Score(domain, node))%uint64(len(relays))]
		for _, p := range peers {
			routes.skipped[p.Node] = p.Node != relay
		}
		routes.relays[relay] = true
	}
	return routes
}

// relaysOf returns the nodes that forward messages to a failure domain, given its nodes and a key
// for both domains: few nodes, so that they forward many messages together, and those with the
// fastest links.
func relaysOf(key string, nodes []*Peer) []string {
	candidates := make([]*Peer, 0, len(nodes))
	fast := 0
	for _, p := range nodes {
		if p.Leaving {
			continue
		}
		candidates = append(candidates, p)
		if p.LinkMbps >= relayLinkMbps {
			fast++
		}
	}
	score := make(map[string]uint64, len(candidates))
	for _, p := range candidates {
		score[p.Node] = rendezvous.Score(key, p.Node)
	}
	slices.SortFunc(candidates, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(score[b.Node], score[a.Node]), cmp.Compare(a.Node, b.Node))
	})
	count := max(minRelays, len(candidates)/relayNodes)
	if fast >= minRelays {
		count = minRelays
	}
	relays := make([]string, 0, count)
	for _, p := range candidates[:min(count, len(candidates))] {
		relays = append(relays, p.Node)
	}
	return relays
}

// To returns how a message with the given detail reaches a node.
func (r Routes) To(node string, detail DetailLevel) Delivery {
	return Delivery{
		// Messages with all details go to few nodes, which must receive them.
		Skip:    r.skipped[node] && detail != Full,
		Forward: r.relays[node],
		Detail:  detail,
	}
}
