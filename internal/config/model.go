package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Model is a model that the site wants to run.
type Model struct {
	Name     ident.Model     `json:"name"`
	Version  ident.Version   `json:"version"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
	// Role is what its engines are ordered to be, in their own words; empty for what
	// they are by themselves.
	Role ident.Role `json:"role,omitempty"`
	// Replicas is how many replicas are wanted.
	Replicas int `json:"replicas"`
	// Priority orders models when capacity is short; 9 is the most urgent.
	Priority int `json:"priority"`
}
