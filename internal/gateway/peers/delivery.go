package peers

import (
	"mangoledge.example/mangoledge/internal/rendezvous"
)

const (
	// maxDirectNodes is the size of a site up to which each node sends its state to all others
	// itself.
	maxDirectNodes = 16
	// relaysPerDomain is how many nodes of another failure domain forward a node's messages there,
	// in turn: while one of them is unreachable, two of three rounds still arrive.
	relaysPerDomain = 3
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
	members := make(map[string][]string)
	for _, p := range alive {
		if p.Forwards && p.FailureDomain != failureDomain {
			members[p.FailureDomain] = append(members[p.FailureDomain], p.Node)
		}
	}
	leaving := make(map[string]bool)
	for _, p := range alive {
		leaving[p.Node] = p.Leaving
	}
	for domain, names := range members {
		relay, ok := relayOf(node, domain, names, leaving, round)
		if !ok {
			continue
		}
		for _, name := range names {
			routes.skipped[name] = name != relay
		}
		routes.relays[relay] = true
	}
	return routes
}

// relayOf returns the relay of a failure domain in a round; ok is false if too few nodes can take
// turns.
func relayOf(node, domain string, names []string, leaving map[string]bool, round uint64) (relay string, ok bool) {
	candidates := make([]string, 0, len(names))
	for _, name := range names {
		if !leaving[name] {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) < relaysPerDomain {
		return "", false
	}
	relays := rendezvous.TopN(node+"/"+domain, candidates, relaysPerDomain)
	return relays[round%relaysPerDomain], true
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
