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

// Explainer collects recorded decisions; *explain.Collector is one.
type Explainer interface {
	Explain(ctx context.Context, subject explain.Subject) (explain.Report, error)
}

// Editor changes the configuration; *config.Manager is one. A proposal whose
// change ID was accepted before is accepted again, but not applied again.
type Editor interface {
	// Propose returns an error only if the change was certainly not made.
	Propose(ctx context.Context, proposal config.Proposal) (config.Outcome, error)
}

// OrderExecutor executes drain and clear orders on one node. Its methods are idempotent.
type OrderExecutor interface {
	// DrainNode begins the planned stop of this node and returns at once.
	DrainNode(ctx context.Context) error
	// ClearPoison makes the crashes of content so far no longer count; it returns false if
	// the content is unknown here.
	ClearPoison(id string) (bool, error)
	// ClearLeaving clears the leaving mark of an upstream or host; it returns false if there
	// is none. A drain stays in force.
	ClearLeaving(id string) (bool, error)
}

// Dumper returns the node's state as a value for encoding/json, without secrets.
type Dumper interface {
	Dump() any
}
