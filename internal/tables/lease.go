package tables

import (
	"context"
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/lease"
)

// Lease is a row of the table leases: a lease as the store holds it, or as this node saw
// it last if the store does not answer.
type Lease struct {
	Name    string `column:"name" doc:"the duty"`
	Holder  string `column:"holder" doc:"the incarnation that holds it; empty after a release"`
	Fencing int    `column:"fencing" doc:"fencing number of the holder"`
	TTLMs   int    `column:"ttlMs" doc:"for how long a renewal holds, in milliseconds"`
	Here    bool   `column:"here" doc:"true when this node holds it now"`
}

// LeaseView reads a lease and whether this node holds it; *lease.Lease is one.
type LeaseView interface {
	Look(ctx context.Context) lease.Record
	Check() (lease.Fence, error)
}

// ProvideLeases fills the table leases; the key of a lease is its name.
func ProvideLeases(r *Registry, leases map[string]LeaseView) {
	Provide(r, func(ctx context.Context) ([]Lease, error) {
		var out []Lease
		for name, view := range leases {
			out = append(out, leaseRow(ctx, name, view))
		}
		slices.SortFunc(out, func(a, b Lease) int { return strings.Compare(a.Name, b.Name) })
		return out, nil
	})
}

// leaseRow returns the row of the lease called name.
func leaseRow(ctx context.Context, name string, view LeaseView) Lease {
	record := view.Look(ctx)
	_, err := view.Check()
	return Lease{
		Name:    name,
		Holder:  string(record.Holder),
		Fencing: int(record.Fence),
		TTLMs:   int(record.TTLMs),
		Here:    err == nil,
	}
}
