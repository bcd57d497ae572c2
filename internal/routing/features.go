package routing

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Features are the properties of a request that determine the choice of an upstream.
type Features struct {
	// Model and Adapter are required by the request; Model is empty for a plain service.
	Model   ident.Model
	Adapter ident.Adapter
	// Service is the plain service, or empty for a model request.
	Service ident.Service
	// Blocks are the leading blocks of the prompt.
	Blocks []Block
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	// Avoid is an upstream that recently failed this request, or empty.
	Avoid ident.Upstream
	// Suspect is true when an upstream crashed while it ran the same content.
	// Two suspects never share an upstream.
	Suspect bool
	// Pressing is true when the request is given up unless it gets a slot soon.
	Pressing bool
}

// Pool returns the pool of upstreams that can serve the request.
func (f *Features) Pool() Pool {
	if f.Service != "" {
		return Pool{Service: f.Service}
	}
	return Pool{Model: f.Model}
}

// Pool identifies the upstreams that serve one model or one plain service.
type Pool struct {
	Model   ident.Model
	Service ident.Service
}
