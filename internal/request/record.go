package request

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Record is the state of an accepted request that its home and its witness store, so
// that another node can continue the request.
type Record struct {
	Spec Spec
	// Phase only moves towards a final phase.
	Phase Phase
	// Holder is the incarnation that runs the request.
	Holder ident.Incarnation
	// Epoch increases by one each time another holder takes over the request.
	Epoch uint64
	// Upstream is the upstream that the request was last sent to, or empty.
	Upstream ident.Upstream
	// UpstreamURL is the base URL of Upstream.
	UpstreamURL string
	// Generation is the sampling run that Tokens belong to.
	Generation ident.Generation
	// Forks are the earlier generations that Generation continues.
	Forks []Fork
	// Tokens are the tokens received so far, all of one generation.
	Tokens []string
	// Output is the reply of a plain service.
	Output string
	// Moves counts changes of upstream or holder.
	Moves int
	// Failure is set when Phase is failed.
	Failure *verdict.Error
}

// Continues reports whether the tokens of r from offset on continue an answer of
// which the caller has the first offset tokens of generation.
func (r *Record) Continues(generation ident.Generation, offset int) bool {
	if offset == 0 || generation == r.Generation {
		return true
	}
	for _, fork := range r.Forks {
		if fork.Generation == generation {
			return offset <= fork.Offset
		}
	}
	return false
}
