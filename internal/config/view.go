package config

// View gives access to the configuration in force on a node.
type View interface {
	// Current returns the configuration in force, or nil before the first one was
	// received. Callers must not modify it.
	Current() *Site
}
