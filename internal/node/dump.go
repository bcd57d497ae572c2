package node

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/witness"
)

// nodeState is the state of a node in a dump, without secrets and request content.
type nodeState struct {
	Self      membership.Member   `json:"self"`
	Settings  settings.Settings   `json:"settings"`
	Members   []membership.Member `json:"members"`
	Gossip    membership.Stats    `json:"gossip"`
	Site      *config.Site        `json:"site"`
	Stale     string              `json:"stale"`
	Upstreams []fleet.Upstream    `json:"upstreams"`
	Leaving   []fleet.Mark        `json:"leaving"`
	Requests  []request.Record    `json:"requests"`
	Witness   []witness.Stat      `json:"witness"`
	Owned     []owner.Summary     `json:"owned"`
	Admission admission.Counters  `json:"admission"`
	Poison    []poison.Entry      `json:"poison"`
}

// dumper implements operator.Options.Dumper for a node.
type dumper struct {
	node *Node
}

// Dump returns the current state.
func (d dumper) Dump() any {
	n := d.node
	return nodeState{
		Self:      n.members.Self(),
		Settings:  n.settings.Redacted(),
		Members:   n.members.Members(),
		Gossip:    n.members.Stats(),
		Site:      n.control.manager.Current(),
		Stale:     n.staleReason(),
		Upstreams: n.control.view.Upstreams(),
		Leaving:   n.control.leaving.Marks(),
		Requests:  withoutContent(n.dispatcher.Records()),
		Witness:   n.witness.Stats(),
		Owned:     n.router.Ledger().Summaries(time.Now()),
		Admission: n.intake.Counters(),
		Poison:    n.guard.Registry().Snapshot(),
	}
}
