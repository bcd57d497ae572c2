// Package config holds the configuration that operators declare for a whole
// site. It lives in the platform's object API and is in force on every node.
//
// Invariant: a node applies versions only upwards.
package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Site is the whole configuration of a site.
type Site struct {
	// Version is given by the object API and only grows.
	Version uint64 `json:"version"`
	// Change is the ID of the change that made this version.
	Change     ident.Change `json:"change"`
	Models     []Model      `json:"models"`
	Services   []Service    `json:"services"`
	Workspaces []Workspace  `json:"workspaces"`
	Kinds      []Kind       `json:"kinds"`
	Capacity   []Capacity   `json:"capacity"`
	Weights    Weights      `json:"weights"`
	// Drains are the hosts and upstreams that operators drain.
	Drains []Drain `json:"drains,omitempty"`
}
