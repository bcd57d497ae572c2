package bench

import (
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// system is what is measured: some nodes that get jobs to upstreams.
type system interface {
	// arrive gives a job to a node.
	arrive(node int, j *job)
	// learn tells a node the list of upstreams.
	learn(node int, list []fleet.Upstream)
	// report tells a node an engine's load.
	report(node int, id ident.Upstream, load routing.Load)
	// events tells a node events of an engine's cache.
	events(node int, id ident.Upstream, events []routing.CacheEvent)
	// abandon drops a job whose deadline passed.
	abandon(j *job)
	// finish adds the system's own counts to the result.
	finish(r *Result)
}
