package testbed

import (
	"context"
	"encoding/json"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// RegisterUpstreams writes the lists of all upstreams started so far to the object API.
func (b *Bed) RegisterUpstreams(ctx context.Context) error {
	client := objects.NewClient(objects.Options{BaseURL: b.PlatformURL()})
	defer client.Close()
	return CreateUpstreamLists(ctx, client, b.Upstreams())
}

// CreateUpstreamLists writes the lists of upstreams to store, one object per failure domain. It
// fails if a domain already has a list.
func CreateUpstreamLists(ctx context.Context, store objects.Store, upstreams []fleet.Upstream) error {
	lists := make(map[ident.FailureDomain]*fleet.DomainList)
	for i := range upstreams {
		domain := upstreams[i].FailureDomain
		if lists[domain] == nil {
			lists[domain] = new(fleet.DomainList)
		}
		lists[domain].Upstreams = append(lists[domain].Upstreams, upstreams[i])
	}
	for domain, list := range lists {
		spec, err := json.Marshal(list)
		if err != nil {
			return err
		}
		object := objects.Object{Kind: fleet.UpstreamsKind, Metadata: objects.Metadata{Name: string(domain)}, Spec: spec}
		if _, err := store.Create(ctx, object); err != nil {
			return err
		}
	}
	return nil
}
