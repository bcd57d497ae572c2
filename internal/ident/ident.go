// Package ident holds the typed names that the rest of the system passes around.
//
// Invariant: an Incarnation is made once per process start and never again,
// so whatever names an incarnation names one run of one process.
package ident

// Node is the name of a node from its settings, such as "n1".
type Node string

// Region is the name of a region.
type Region string

// FailureDomain is the name of a failure domain: the hosts that can be reclaimed together.
type FailureDomain string

// Workspace is the name of a customer's workspace.
type Workspace string

// Kind is the kind of work of a request, such as "draft" or "dock-hold".
type Kind string

// Model is the name of a model.
type Model string

// Adapter is the name of an adapter of a model.
type Adapter string

// Role is what a model engine does, such as compute prompts only, in the engine's own words.
type Role string

// Version is the name of a version of a model's weights.
type Version string

// Service is the name of a plain service.
type Service string

// Upstream is the name of one replica of a model or of a plain service.
type Upstream string

// Host is the platform's name of a host.
type Host string

// HostClass is the platform's name of a kind of host.
type HostClass string

// Change names one change of configuration; its writer chooses it.
type Change string

// Generation names one sampling run of a model; tokens of two generations are never joined.
type Generation string
