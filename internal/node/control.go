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

// controlPlane holds the node's connection to the platform: the configuration and the
// list of upstreams in the object API, and the sources of leaving marks.
type controlPlane struct {
	node  *Node
	store *objects.Client
	// storeBudget counts and limits the calls of store.
	storeBudget *objects.Budget
	relay       *relay.Relay
	manager     *config.Manager
	registry    *fleet.Registry
	leaving     *fleet.LeavingMarks
	view        *fleet.LeavingView
	notices     *notices
	// hostList is nil when no host list is configured.
	hostList *fleet.HostListWatch
	// capacity is nil when no cloud is configured.
	capacity *reconciliation
	running  sync.WaitGroup
}

// newControlPlane returns the control plane of n, whose members and peers must be set.
func newControlPlane(n *Node, dialer peer.Dialer) *controlPlane {
	c := &controlPlane{node: n, storeBudget: objects.NewBudget(objects.DefaultCallsPerSecond, objects.DefaultBurst)}
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
	c.leaving = fleet.NewLeavingMarks(n.members, time.Now)
	c.manager = config.NewManager(config.ManagerOptions{Store: c.store, Relay: c.relay, Logger: n.logger, OnInForce: c.applyDrains})
	operator.RecordLeavingMarks(n.journal, c.leaving, c.registry)
	c.view = fleet.NewLeavingView(c.registry, c.leaving)
	c.notices = newNotices(n, c.leaving)
	c.hostList = newHostListWatch(n, c.leaving)
	c.capacity = newReconciliation(n, c)
	if c.capacity != nil && c.hostList != nil {
		c.hostList.OnList(c.capacity.reconciler.RecordHostList)
	}
	return c
}

// newHostListWatch returns nil when no host list is configured.
func newHostListWatch(n *Node, leaving *fleet.LeavingMarks) *fleet.HostListWatch {
	platform := n.settings.Platform
	if platform.HostListURL == "" {
		return nil
	}
	client := rest.NewClient(rest.Options{BaseURL: platform.HostListURL, Token: platform.Token})
	return fleet.NewHostListWatch(hostlist.NewClient(client), n.members, leaving, time.Now, n.logger)
}

// stale reports whether this node's configuration may be out of date, and the reason.
func (c *controlPlane) stale() (string, bool) {
	return c.manager.Stale(time.Now())
}

// markLeaving gossips a leaving mark for an upstream whose answer said that it is leaving.
func (c *controlPlane) markLeaving(id ident.Upstream) {
	if err := c.leaving.MarkUpstream(id, time.Now(), fleet.SourceAnswer); err != nil {
		c.node.logger.Warn("failed to gossip the mark of a leaving upstream", "upstream", string(id), "error", err)
	}
}

// applyDrains puts the drains of a configuration version into force.
func (c *controlPlane) applyDrains(site *config.Site) {
	subjects := make([]fleet.Subject, 0, len(site.Drains))
	for _, d := range site.Drains {
		subjects = append(subjects, fleet.Subject{Upstream: d.Upstream, Host: d.Host})
	}
	c.leaving.SetDrains(site.Version, subjects)
}

// register registers the relay's service for other nodes.
func (c *controlPlane) register(server *peer.Server) error {
	return c.relay.Register(server)
}

// start starts the background work that keeps configuration, upstreams and leaving
// marks current until ctx ends.
func (c *controlPlane) start(ctx context.Context) {
	c.run(func() {
		if err := c.relay.Run(ctx); err != nil && ctx.Err() == nil {
			c.node.logger.Error("relay ended unexpectedly", "error", err)
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

// run runs f in the background; wait waits for it.
func (c *controlPlane) run(f func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		f()
	}()
}

// wait waits for the background work to end and closes the store client; the context
// of start must have ended.
func (c *controlPlane) wait() {
	c.running.Wait()
	c.store.Close()
}
