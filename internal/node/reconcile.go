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

// reconciling is the node's part in the leased duty of keeping the declared
// models running.
type reconciling struct {
	lease      *lease.Lease
	reconciler *capacity.Reconciler
	store      *objects.Client
}

// newReconciling returns nil when the settings name no cloud.
func newReconciling(n *Node, c *control) *reconciling {
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
	return &reconciling{
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

// lease returns this node's part in the duty of reconciling. A node whose settings
// name no cloud only looks at it.
func (c *control) lease() *lease.Lease {
	if c.capacity != nil {
		return c.capacity.lease
	}
	return lease.New(lease.Options{Store: c.store, Name: capacity.LeaseName, Holder: c.node.self, Logger: c.node.logger})
}

// regionOf returns the region of a failure domain, as far as its members tell.
func (n *Node) regionOf(domain ident.FailureDomain) ident.Region {
	for _, member := range n.members.Members() {
		if member.FailureDomain == domain {
			return member.Region
		}
	}
	return n.settings.Region
}

// run takes part until ctx ends; then it gives the lease back.
func (r *reconciling) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.lease.Run(ctx)
	}()
	r.reconciler.Run(ctx)
	<-done
	r.store.Close()
}
