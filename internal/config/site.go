// Package config holds the configuration that operators declare for a whole
// site. It is stored in the platform's object API and takes effect on every node.
//
// Invariant: a node never replaces a version with an earlier one.
package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Site is the whole configuration of a site.
type Site struct {
	// Version is assigned by the object API and only increases.
	Version uint64 `json:"version"`
	// Change is the ID of the change that created this version.
	Change     ident.Change `json:"change"`
	Models     []Model      `json:"models"`
	Services   []Service    `json:"services"`
	Workspaces []Workspace  `json:"workspaces"`
	Kinds      []Kind       `json:"kinds"`
	Capacity   []Capacity   `json:"capacity"`
	Weights    Weights      `json:"weights"`
	// Drains are the hosts and upstreams that operators have drained.
	Drains []Drain `json:"drains,omitempty"`
}
