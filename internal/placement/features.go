package placement

import (
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/routing"
)

// featuresOf returns the properties of the request that the choice of an upstream
// depends on.
func featuresOf(need *dispatch.PlacementRequest) routing.Features {
	spec := need.Spec
	features := routing.Features{
		Model:        spec.Model,
		Adapter:      spec.Adapter,
		Service:      spec.Service,
		PromptTokens: spec.EstimatePromptTokens() + need.Tokens,
		MaxTokens:    spec.MaxTokens,
	}
	if spec.Service == "" {
		features.Blocks = blocksOf(need)
	}
	if n := len(need.Avoid); n > 0 {
		features.Avoid = need.Avoid[n-1]
	}
	return features
}

// blocksOf returns the block hashes of the prompt. They are computed when the
// request is first placed and then cached in need.
func blocksOf(need *dispatch.PlacementRequest) []routing.Block {
	spec := need.Spec
	if need.Blocks == nil && len(spec.Input) >= routing.BlockBytes {
		count := min(len(spec.Input)/routing.BlockBytes, routing.MaxBlocks)
		need.Blocks = routing.Blocks(make([]routing.Block, 0, count), spec.Model, spec.Adapter, spec.Input)
	}
	return need.Blocks
}
