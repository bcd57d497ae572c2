package testbed

import (
	"context"
	"encoding/json"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// RegisterUpstreams writes the lists of all upstreams started so far into the object API.
func (b *Bed) RegisterUpstreams(ctx context.Context) error {
	client := objects.NewClient(objects.Options{BaseURL: b.PlatformURL()})
	defer client.Close()
	lists := make(map[ident.FailureDomain]*fleet.DomainList)
	for _, upstream := range b.Upstreams() {
		list, ok := lists[upstream.FailureDomain]
		if !ok {
			list = new(fleet.DomainList)
			lists[upstream.FailureDomain] = list
		}
		list.Upstreams = append(list.Upstreams, upstream)
	}
	for domain, list := range lists {
		spec, err := json.Marshal(list)
		if err != nil {
			return err
		}
		object := objects.Object{Kind: fleet.UpstreamsKind, Metadata: objects.Metadata{Name: string(domain)}, Spec: spec}
		if _, err := client.Create(ctx, object); err != nil {
			return err
		}
	}
	return nil
}
