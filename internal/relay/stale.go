package relay

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// Stale reports whether objects held here may have been replaced more than StaleLimit
// ago without this node's knowledge, and the reason.
//
// While the store is down, no object can be replaced. Therefore a node without a recent
// proof counts as stale only if it also appears isolated from the other nodes.
func (r *Relay) Stale(now time.Time) (reason string, stale bool) {
	if r.table.empty() {
		return "nothing was ever heard from the store or from other nodes", true
	}
	age := now.Sub(r.ProvenAt())
	if age <= StaleLimit {
		return "", false
	}
	why, isolated := isolation(r.options.View.Self(), r.options.View.Members())
	if !isolated {
		return "", false
	}
	return fmt.Sprintf("no proof from the store for %v, and %s", age.Round(time.Second), why), true
}

// nodeReach is the region of a node and whether any of its incarnations is usable.
type nodeReach struct {
	region ident.Region
	usable bool
}

// isolation reports whether self appears isolated, and why: it reaches at most half of
// the nodes, or no node of some other region. Nodes that left or are leaving don't count.
func isolation(self membership.Member, members []membership.Member) (reason string, isolated bool) {
	nodes := make(map[ident.Node]nodeReach)
	for _, m := range members {
		if m.State == membership.StateLeft || m.State == membership.StateLeaving {
			continue
		}
		node := nodes[m.Node]
		nodes[m.Node] = nodeReach{region: m.Region, usable: node.usable || m.State.Usable()}
	}
	nodes[self.Node] = nodeReach{region: self.Region, usable: true}
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
