package node

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/peer"
)

// defaultLatencyWeight is the weight of the latency target before a configuration says otherwise.
const defaultLatencyWeight = 0.5

// control is the node's part in configuration, fleet and leases.
type control struct {
	node *Node
}

// siteView is the configuration in force.
type siteView struct{}

// Current returns the version in force.
func (*siteView) Current() *config.Site { return nil }

// fleetView is the list of upstreams.
type fleetView struct{}

// Upstreams returns a snapshot.
func (*fleetView) Upstreams() []fleet.Upstream { return nil }

func newControl(n *Node) *control { return &control{node: n} }

func (c *control) fleet() fleet.View           { return &fleetView{} }
func (c *control) site() config.View           { return &siteView{} }
func (c *control) stale() (string, bool)       { return "", false }
func (c *control) markLeaving(ident.Upstream)  {}
func (c *control) register(*peer.Server) error { return nil }
func (c *control) start(context.Context)       {}
func (c *control) stop()                       {}
