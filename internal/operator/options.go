package operator

import (
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/query"
)

// Options are what a Runner works on. A nil field makes the commands that need it unavailable.
type Options struct {
	Schema query.Schema
	Tables Tables
	// Site asks all nodes for tables that each keeps for itself; without it this node alone tells.
	Site      *Site
	Explainer Explainer
	Editor    Editor
	Orders    *Orders
	// Upstreams are those that this node knows of.
	Upstreams fleet.View
	Dumper    Dumper
	// Journal notes each change, for explain.
	Journal *explain.Journal
}
