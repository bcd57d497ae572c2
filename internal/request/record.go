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
	// Tokens are the tokens known so far; of one generation only.
	Tokens []string
	// Output is the reply of a plain service.
	Output string
	// Moves counts changes of upstream or holder.
	Moves int
	// Failure is set when Phase is failed.
	Failure *verdict.Error
}
