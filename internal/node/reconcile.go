package node

import (
	"context"
	"crypto/rand"
	"time"

	"mangoledge.example/mangoledge/internal/capacity"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/platform/weights"
)

// reconciliation runs the capacity reconciler, which keeps the declared models running,
// while this node holds its lease.
type reconciliation struct {
	lease      *lease.Lease
	reconciler *capacity.Reconciler
	store      *objects.Client
}

// newReconciliation returns nil when no cloud is configured.
func newReconciliation(n *Node, c *controlPlane) *reconciliation {
	platform := n.settings.Platform
	if platform.CloudURL == "" {
		return nil
	}
	client := func(url string) *rest.Client {
		return rest.NewClient(rest.Options{BaseURL: url, Token: platform.Token})
	}
	store := objects.NewClient(objects.Options{
		BaseURL: platform.ObjectsURL, Token: platform.Token,
		Budget: objects.NewBudget(capacity.StoreCallsPerSecond, capacity.StoreBurst),
	})
	held := lease.New(lease.Options{
		Store:     c.store,
		Name:      capacity.LeaseName,
		Holder:    n.self,
		Candidate: lease.CandidateOf(n.members, capacity.LeaseName),
		Logger:    n.logger,
	})
	return &reconciliation{
		lease: held,
		store: store,
		reconciler: capacity.New(capacity.Options{
			Store:    store,
			Lease:    held,
			Cloud:    cloud.NewClient(client(platform.CloudURL)),
			Weights:  weights.NewClient(client(platform.WeightsURL), time.Now),
			Engines:  capacity.HTTPEngines{},
			Registry: fleet.NewPublisher(c.registry, store),
			Site:     c.manager,
			Marks:    c.leaving,
			RegionOf: n.regionOf,
			NewToken: rand.Text,
			Logger:   n.logger,
			Journal:  n.journal,
		}),
	}
}

// lease returns the lease of the capacity reconciler. When no cloud is configured, it is
// only read and never acquired.
func (c *controlPlane) lease() *lease.Lease {
	if c.capacity != nil {
		return c.capacity.lease
	}
	return lease.New(lease.Options{Store: c.store, Name: capacity.LeaseName, Holder: c.node.self, Logger: c.node.logger})
}

// regionOf returns the region that a member of the failure domain has, or this node's
// own region when the domain has no member.
func (n *Node) regionOf(domain ident.FailureDomain) ident.Region {
	for _, member := range n.members.Members() {
		if member.FailureDomain == domain {
			return member.Region
		}
	}
	return n.settings.Region
}

// run runs lease and reconciler until ctx ends. The lease is then given back and the store client closed.
func (r *reconciliation) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.lease.Run(ctx)
	}()
	r.reconciler.Run(ctx)
	<-done
	r.store.Close()
}
