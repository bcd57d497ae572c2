package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Kind is a kind of work and its value.
type Kind struct {
	Name ident.Kind `json:"name"`
	// Worth is the weight of a complete response of this kind that meets its deadline.
	Worth float64 `json:"worth"`
}
