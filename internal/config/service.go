package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Service is a plain service that requests are routed to.
type Service struct {
	Name ident.Service `json:"name"`
	// Repeatable is false when its calls must not be repeated.
	Repeatable bool `json:"repeatable"`
}
