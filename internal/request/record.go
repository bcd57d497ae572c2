package request

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Record is what home and witness keep about an accepted request, so that
// another node can go on with it.
type Record struct {
	Spec Spec
	// Phase only moves towards a final phase.
	Phase Phase
	// Holder is the incarnation that runs the request.
	Holder ident.Incarnation
	// Epoch grows by one each time another holder takes the request over.
	Epoch uint64
	// Upstream is where the request was last sent, or empty.
	Upstream ident.Upstream
	// UpstreamURL is the base URL of Upstream.
	UpstreamURL string
	// Generation is the sampling run that Tokens belong to.
	Generation ident.Generation
	// Forks are the earlier generations that Generation goes on from.
	Forks []Fork
	// Tokens are the tokens known so far; of one generation only.
	Tokens []string
	// Output is the reply of a plain service.
	Output string
	// Moves counts changes of upstream or holder.
	Moves int
	// Failure is set when Phase is failed.
	Failure *verdict.Error
}

// Continues reports whether a caller that holds the first offset tokens of
// generation can be given the tokens of r from offset on.
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
