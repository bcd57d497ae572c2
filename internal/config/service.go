package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Service is a service, other than a model, that requests are routed to.
type Service struct {
	Name ident.Service `json:"name"`
	// Repeatable is false when calls of the service must not be repeated.
	Repeatable bool `json:"repeatable"`
}
