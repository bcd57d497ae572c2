package routing

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Features are what the choice of an upstream depends on.
type Features struct {
	// Model and Adapter are what the request needs; Model is empty for a plain service.
	Model   ident.Model
	Adapter ident.Adapter
	// Service is the plain service, or empty for model work.
	Service ident.Service
	// Blocks are the blocks of the prompt, from its start.
	Blocks []Block
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxTokens is the most tokens to generate.
	MaxTokens int
	// Avoid is an upstream that lately failed this request, or empty.
	Avoid ident.Upstream
	// Suspect is true when the content was running at an upstream that crashed.
	// Two suspects never share an upstream.
	Suspect bool
	// Pressing is true when the request must have a place soon or is given up.
	Pressing bool
}

// Pool returns the name of the group of upstreams that can serve the request.
func (f *Features) Pool() Pool {
	if f.Service != "" {
		return Pool{Service: f.Service}
	}
	return Pool{Model: f.Model}
}

// Pool names the upstreams of one model or of one plain service.
type Pool struct {
	Model   ident.Model
	Service ident.Service
}
