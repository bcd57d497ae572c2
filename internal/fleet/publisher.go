package fleet

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// Publisher is a Registry that writes through a client with a separate call budget. It
// is used on the one node that publishes the list of upstreams.
type Publisher struct {
	*Registry
	store objects.Store
}

// NewPublisher returns a publisher that writes registry's lists through store.
func NewPublisher(registry *Registry, store objects.Store) *Publisher {
	return &Publisher{Registry: registry, store: store}
}

// Set is Registry.Set through the publisher's client.
func (p *Publisher) Set(ctx context.Context, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
	return p.setVia(ctx, p.store, domain, edit)
}
