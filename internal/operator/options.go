package operator

import (
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/query"
)

// Options holds what a Runner works on. A nil field makes the commands that need it unavailable.
type Options struct {
	Schema query.Schema
	Tables Tables
	// RowCollector collects the rows of tables of which each node keeps its own part; if nil,
	// only this node's rows are shown.
	RowCollector *RowCollector
	Explainer    Explainer
	Editor       Editor
	Orders       *OrderSender
	// Upstreams holds the upstreams known to this node.
	Upstreams fleet.View
	Dumper    Dumper
	// Journal records each change, for explain.
	Journal *explain.Journal
}
