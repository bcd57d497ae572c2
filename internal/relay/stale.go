package relay

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// Stale reports whether what this node holds may have been replaced more than
// StaleLimit ago without its knowing, and why.
//
// While the store itself is down nobody can replace anything, so a node without
// a proof is not stale for as long as it is not cut off from the other nodes.
func (r *Relay) Stale(now time.Time) (reason string, stale bool) {
	if r.table.empty() {
		return "nothing was ever heard from the store or from other nodes", true
	}
	silent := now.Sub(r.Proof())
	if silent <= StaleLimit {
		return "", false
	}
	why, cut := cutOff(r.options.View.Self(), r.options.View.Members())
	if !cut {
		return "", false
	}
	return fmt.Sprintf("no proof from the store for %v, and %s", silent.Round(time.Second), why), true
}

// nodeSeen is what is known of a node over all its incarnations.
type nodeSeen struct {
	region ident.Region
	usable bool
}

// cutOff reports whether self looks cut off from the rest of the site: it can
// reach at most half of the nodes, or no node of some other region.
func cutOff(self membership.Member, members []membership.Member) (why string, cut bool) {
	nodes := make(map[ident.Node]nodeSeen)
	for _, m := range members {
		if m.State == membership.StateLeft || m.State == membership.StateLeaving {
			continue
		}
		seen := nodes[m.Node]
		nodes[m.Node] = nodeSeen{region: m.Region, usable: seen.usable || m.State.Usable()}
	}
	nodes[self.Node] = nodeSeen{region: self.Region, usable: true}
	usable := 0
	regions := make(map[ident.Region]bool)
	for _, n := range nodes {
		regions[n.region] = regions[n.region] || n.usable
		if n.usable {
			usable++
		}
	}
	if len(nodes) > 1 && 2*usable <= len(nodes) {
		return fmt.Sprintf("only %d of %d nodes are reached", usable, len(nodes)), true
	}
	for region, reached := range regions {
		if !reached {
			return fmt.Sprintf("no node of region %q is reached", region), true
		}
	}
	return "", false
}
