package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// Need says what a request needs of an upstream.
type Need struct {
	Spec *request.Spec
	// Blocks are the blocks of the prompt, which the router fills in when it is first asked.
	Blocks []routing.Block
	// Tokens is the number of tokens that are already there.
	Tokens int
	// Avoid are upstreams that have just failed this request.
	Avoid []ident.Upstream
	// Attempt counts the upstreams tried before.
	Attempt int
	// LatestStart is when the request must have its place or is given up; zero
	// once it was sent to an upstream.
	LatestStart time.Time
}
