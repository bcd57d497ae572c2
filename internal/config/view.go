package config

// View is the configuration that a node has in force.
type View interface {
	// Current returns the version in force, or nil before the first; it must not be changed.
	Current() *Site
}
