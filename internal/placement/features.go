package placement

import (
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/routing"
)

// featuresOf returns the properties of the request that the choice of an upstream
// depends on.
func featuresOf(req *dispatch.PlacementRequest) routing.Features {
	spec := req.Spec
	features := routing.Features{
		Model:        spec.Model,
		Adapter:      spec.Adapter,
		Service:      spec.Service,
		PromptTokens: spec.EstimatePromptTokens() + req.Tokens,
		MaxTokens:    spec.MaxTokens,
	}
	if spec.Service == "" {
		features.Blocks = blocksOf(req)
	}
	if n := len(req.Avoid); n > 0 {
		features.Avoid = req.Avoid[n-1]
	}
	return features
}

// blocksOf returns the block hashes of the prompt. They are computed when the
// request is first placed and then cached in req.
func blocksOf(req *dispatch.PlacementRequest) []routing.Block {
	spec := req.Spec
	if req.Blocks == nil && len(spec.Input) >= routing.BlockBytes {
		count := min(len(spec.Input)/routing.BlockBytes, routing.MaxBlocks)
		req.Blocks = routing.Blocks(make([]routing.Block, 0, count), spec.Model, spec.Adapter, spec.Input)
	}
	return req.Blocks
}
