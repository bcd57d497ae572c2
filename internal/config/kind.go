package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Kind is a kind of work and what it is worth.
type Kind struct {
	Name ident.Kind `json:"name"`
	// Worth weighs an answer of this kind that is whole and in time.
	Worth float64 `json:"worth"`
}
