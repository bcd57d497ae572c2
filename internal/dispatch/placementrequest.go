package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// PlacementRequest describes a request for a placement.
type PlacementRequest struct {
	Spec *request.Spec
	// Blocks are the blocks of the prompt; the router sets them at the first call.
	Blocks []routing.Block
	// Tokens is the number of tokens generated so far.
	Tokens int
	// Avoid lists the last upstreams that failed or gave up this request.
	Avoid []ident.Upstream
	// Attempt is the number of earlier attempts.
	Attempt int
	// LatestStart is when a request without a placement is given up; zero once the
	// request has been sent to an upstream.
	LatestStart time.Time
}
