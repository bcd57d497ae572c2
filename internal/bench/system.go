package bench

import (
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// system is what a run measures: a number of nodes that route jobs to upstreams.
type system interface {
	// submit gives a job to a node.
	submit(node int, j *job)
	// updateUpstreams gives a node the list of upstreams.
	updateUpstreams(node int, list []fleet.Upstream)
	// recordLoad gives a node the load report of an engine.
	recordLoad(node int, id ident.Upstream, load routing.Load)
	// applyCacheEvents gives a node the events of an engine's prefix cache.
	applyCacheEvents(node int, id ident.Upstream, events []routing.CacheEvent)
	// expire ends the work on a job whose deadline has passed.
	expire(j *job)
	// addCounts adds the system's own counts to the result.
	addCounts(r *Result)
}
