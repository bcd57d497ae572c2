package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// Request describes a request to be admitted.
type Request struct {
	Workspace ident.Workspace
	Kind      ident.Kind
	// Pool identifies the upstreams that can serve the request.
	Pool     routing.Pool
	Priority request.Priority
	// Worth is the relative value of a complete answer before the deadline.
	Worth float64
	// Cost is the expected time that the request occupies a slot of an upstream.
	Cost     time.Duration
	Deadline time.Time
}

// density returns the worth per second of slot time.
func (r *Request) density() float64 {
	return r.Worth / max(r.Cost.Seconds(), minCost.Seconds())
}

// minCost is the smallest cost that a request is charged.
const minCost = time.Millisecond
