package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Model is a model that the site declares to run.
type Model struct {
	Name     ident.Model     `json:"name"`
	Version  ident.Version   `json:"version"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
	// Role is the role that the model's engines are ordered to take, as the engines
	// name it; empty keeps their own default.
	Role ident.Role `json:"role,omitempty"`
	// Replicas is the desired number of replicas.
	Replicas int `json:"replicas"`
	// Priority orders models when capacity is insufficient; 9 is the highest.
	Priority int `json:"priority"`
}
