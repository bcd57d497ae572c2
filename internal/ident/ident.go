// Package ident defines the identifier types that the other packages share.
//
// Invariant: an Incarnation is created once per process start and never reused, so
// that it identifies one run of one process.
package ident

// Node is the name of a node as set in its settings, such as "n1".
type Node string

// Region is the name of a region.
type Region string

// FailureDomain is the name of a failure domain: a set of hosts that can be reclaimed together.
type FailureDomain string

// Workspace is the name of a customer's workspace.
type Workspace string

// Kind is the kind of work of a request, such as "draft" or "dock-hold".
type Kind string

// Model is the name of a model.
type Model string

// Adapter is the name of an adapter of a model.
type Adapter string

// Role is the function of a model engine, such as computing prompts only, as the
// engine itself reports it.
type Role string

// Version is the name of a version of a model's weights.
type Version string

// Service is the name of a plain service.
type Service string

// Upstream is the name of one replica of a model or of a plain service.
type Upstream string

// Host is the name that the platform gives to a host.
type Host string

// HostClass is the name that the platform gives to a class of hosts.
type HostClass string

// Change is the ID of one configuration change, chosen by its author.
type Change string

// Generation is the ID of one sampling run of a model. Tokens of different generations
// are never joined in one answer.
type Generation string
