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

// Service is a plain service that requests are routed to.
type Service struct {
	Name ident.Service `json:"name"`
	// Repeatable is false when its calls must not be repeated.
	Repeatable bool `json:"repeatable"`
}

// Workspace is a customer's workspace.
type Workspace struct {
	Name ident.Workspace `json:"name"`
	// Share is its weight in fair queueing.
	Share float64 `json:"share"`
	// MaxInFlight is the most requests it may have accepted at once on one node; 0 means no limit.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Kind is a kind of work and what it is worth.
type Kind struct {
	Name ident.Kind `json:"name"`
	// Worth weighs an answer of this kind that is whole and in time.
	Worth float64 `json:"worth"`
}

// Capacity is what the site will pay for in one failure domain and host class.
type Capacity struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	HostClass     ident.HostClass     `json:"hostClass"`
	// MaxHosts is the most hosts to pay for.
	MaxHosts int `json:"maxHosts"`
	// MaxPricePerHour is the highest price per host-hour to pay.
	MaxPricePerHour float64 `json:"maxPricePerHour"`
	// Reclaimable says which market the hosts come from.
	Reclaimable bool `json:"reclaimable"`
	// ChecksFencing is true when engines on these hosts refuse orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Weights say what the site favours.
type Weights struct {
	// Latency weighs the latency target, from 0 to 1; cost has the rest.
	Latency float64 `json:"latency"`
}

// View is the configuration that a node has in force.
type View interface {
	// Current returns the version in force, or nil before the first; it must not be changed.
	Current() *Site
}
