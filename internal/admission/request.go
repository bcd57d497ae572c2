package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// Request describes a request that asks to be accepted.
type Request struct {
	Workspace ident.Workspace
	Kind      ident.Kind
	// Pool is the group of upstreams that can serve it.
	Pool     routing.Pool
	Priority request.Priority
	// Worth weighs an answer that is whole and in time.
	Worth float64
	// Cost is the expected time in a slot of an upstream.
	Cost     time.Duration
	Deadline time.Time
}

// density is the worth per second of a slot.
func (r *Request) density() float64 {
	return r.Worth / max(r.Cost.Seconds(), minCost.Seconds())
}

// minCost is the least cost that is counted.
const minCost = time.Millisecond
