package placement

import (
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/routing"
)

// featuresOf is what the choice of an upstream depends on.
func featuresOf(need *dispatch.PlacementRequest) routing.Features {
	spec := need.Spec
	out := routing.Features{
		Model:        spec.Model,
		Adapter:      spec.Adapter,
		Service:      spec.Service,
		PromptTokens: spec.EstimatePromptTokens() + need.Tokens,
		MaxTokens:    spec.MaxTokens,
	}
	if spec.Service == "" {
		out.Blocks = blocksOf(need)
	}
	if n := len(need.Avoid); n > 0 {
		out.Avoid = need.Avoid[n-1]
	}
	return out
}

// blocksOf returns the blocks of the prompt, which are hashed when the request
// looks for an upstream for the first time and kept with it.
func blocksOf(need *dispatch.PlacementRequest) []routing.Block {
	spec := need.Spec
	if need.Blocks == nil && len(spec.Input) >= routing.BlockBytes {
		count := min(len(spec.Input)/routing.BlockBytes, routing.MaxBlocks)
		need.Blocks = routing.Blocks(make([]routing.Block, 0, count), spec.Model, spec.Adapter, spec.Input)
	}
	return need.Blocks
}
