package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Workspace is the configuration of a customer's workspace.
type Workspace struct {
	Name ident.Workspace `json:"name"`
	// Share is its weight in fair queueing.
	Share float64 `json:"share"`
	// MaxInFlight is the maximum number of its accepted requests in progress on one node; 0 means no limit.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}
