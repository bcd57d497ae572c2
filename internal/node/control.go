package node

import (
	"context"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/operator"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/relay"
)

// control is the node's part in what the platform's object API holds: the
// configuration and the list of upstreams, and the marks of those that leave.
type control struct {
	node  *Node
	store *objects.Client
	// storeBudget counts the calls of store and bounds them.
	storeBudget *objects.Budget
	relay       *relay.Relay
	manager     *config.Manager
	registry    *fleet.Registry
	leaving     *fleet.Leaving
	view        *fleet.LeavingView
	notices     *notices
	// hostList is nil on a node whose settings name no host list.
	hostList *fleet.HostListWatch
	// capacity is nil on a node whose settings name no cloud.
	capacity *reconciling
	running  sync.WaitGroup
}

// newControl makes the control part of n, whose members and peers are there.
func newControl(n *Node, dialer peer.Dialer) *control {
	c := &control{node: n, storeBudget: objects.NewBudget(objects.DefaultCallsPerSecond, objects.DefaultBurst)}
	c.store = objects.NewClient(objects.Options{BaseURL: n.settings.Platform.ObjectsURL, Token: n.settings.Platform.Token, Budget: c.storeBudget})
	c.relay = relay.New(relay.Options{
		Store:  c.store,
		Kinds:  []objects.Kind{config.SiteKind, fleet.UpstreamsKind},
		View:   n.members,
		Peers:  n.peers,
		Dialer: dialer,
		Logger: n.logger,
	})
	c.registry = fleet.NewRegistry(c.store, c.relay, n.logger)
	c.leaving = fleet.NewLeaving(n.members, time.Now)
	c.manager = config.NewManager(config.ManagerOptions{Store: c.store, Relay: c.relay, Logger: n.logger, InForce: c.declareDrains})
	operator.RecordMarks(n.journal, c.leaving, c.registry)
	c.view = fleet.NewLeavingView(c.registry, c.leaving)
	c.notices = newNotices(n, c.leaving)
	c.hostList = newHostListWatch(n, c.leaving)
	c.capacity = newReconciling(n, c)
	if c.capacity != nil && c.hostList != nil {
		c.hostList.OnList(c.capacity.reconciler.RecordHostList)
	}
	return c
}

// newHostListWatch returns nil when the settings name no host list.
func newHostListWatch(n *Node, leaving *fleet.Leaving) *fleet.HostListWatch {
	platform := n.settings.Platform
	if platform.HostListURL == "" {
		return nil
	}
	client := rest.NewClient(rest.Options{BaseURL: platform.HostListURL, Token: platform.Token})
	return fleet.NewHostListWatch(hostlist.NewClient(client), n.members, leaving, time.Now, n.logger)
}

// stale tells whether this node may have missed a configuration, and why.
func (c *control) stale() (string, bool) {
	return c.manager.Stale(time.Now())
}

// markLeaving spreads the news that an upstream said it is leaving.
func (c *control) markLeaving(id ident.Upstream) {
	if err := c.leaving.MarkUpstream(id, time.Now(), fleet.SourceAnswer); err != nil {
		c.node.logger.Warn("a leaving upstream could not be told to other nodes", "upstream", string(id), "error", err)
	}
}

// declareDrains puts the drains of a version of the configuration in force.
func (c *control) declareDrains(site *config.Site) {
	subjects := make([]fleet.Subject, 0, len(site.Drains))
	for _, d := range site.Drains {
		subjects = append(subjects, fleet.Subject{Upstream: d.Upstream, Host: d.Host})
	}
	c.leaving.Declare(site.Version, subjects)
}

// register offers the relay to other nodes.
func (c *control) register(server *peer.Server) error {
	return c.relay.Register(server)
}

// start keeps configuration and upstreams current until ctx ends.
func (c *control) start(ctx context.Context) {
	c.run(func() {
		if err := c.relay.Run(ctx); err != nil && ctx.Err() == nil {
			c.node.logger.Error("the relay ended", "error", err)
		}
	})
	c.run(func() { c.notices.watch(ctx) })
	if c.hostList != nil {
		c.run(func() { c.hostList.Run(ctx) })
	}
	if c.capacity != nil {
		c.run(func() { c.capacity.run(ctx) })
	}
}

func (c *control) run(f func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		f()
	}()
}

// wait waits for what start began; its context must have ended.
func (c *control) wait() {
	c.running.Wait()
	c.store.Close()
}
