package fleet

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// Publisher is a Registry whose changes go by a client with a budget of its own,
// for the one node that lists upstreams.
type Publisher struct {
	*Registry
	store objects.Store
}

// NewPublisher returns a publisher to registry by store.
func NewPublisher(registry *Registry, store objects.Store) *Publisher {
	return &Publisher{Registry: registry, store: store}
}

// Set is Registry.Set by the publisher's client.
func (p *Publisher) Set(ctx context.Context, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
	return p.setBy(ctx, p.store, domain, edit)
}
