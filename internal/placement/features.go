package placement

import (
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/routing"
)

// featuresOf is what the choice of an upstream depends on.
func featuresOf(need *dispatch.Need) routing.Features {
	spec := need.Spec
	out := routing.Features{
		Model:        spec.Model,
		Adapter:      spec.Adapter,
		Service:      spec.Service,
		PromptTokens: spec.PromptTokens() + need.Tokens,
		MaxTokens:    spec.MaxTokens,
	}
	if spec.Service == "" {
		out.Blocks = routing.Blocks(nil, spec.Model, spec.Adapter, spec.Input)
	}
	if n := len(need.Avoid); n > 0 {
		out.Avoid = need.Avoid[n-1]
	}
	return out
}
