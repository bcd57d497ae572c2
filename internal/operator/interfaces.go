package operator

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/query"
)

// Tables returns the rows of tables; *tables.Registry is one.
type Tables interface {
	Rows(ctx context.Context, table string) ([]query.Row, error)
}

// Explainer gathers what was decided; *explain.Collector is one.
type Explainer interface {
	Explain(ctx context.Context, subject explain.Subject) (explain.Report, error)
}

// Editor changes the configuration; *config.Manager is one. A proposal whose
// change ID was accepted before is accepted again without being made twice.
type Editor interface {
	// Propose returns an error only when the change was certainly not made.
	Propose(ctx context.Context, proposal config.Proposal) (config.Outcome, error)
}

// Local does on one node what drain and clear ask for. Doing it twice is harmless.
type Local interface {
	// DrainNode begins the planned stop of this node and returns at once.
	DrainNode(ctx context.Context) error
	// ClearPoison forgets a content that crashed upstreams; false when it is not known here.
	ClearPoison(id string) (bool, error)
	// ClearLeaving takes back that an upstream or host was learnt to be leaving; false when
	// it was not. A drain stays.
	ClearLeaving(id string) (bool, error)
}

// Dumper returns the node's state as a value for encoding/json, without secrets.
type Dumper interface {
	Dump() any
}
