package placement

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// longPlacementRequest returns a request whose prompt has routing.MaxBlocks blocks.
func longPlacementRequest() *dispatch.PlacementRequest {
	prompt := strings.Repeat("a packet to audit ", routing.MaxBlocks*routing.BlockBytes/18+1)
	return &dispatch.PlacementRequest{Spec: &request.Spec{Model: "m", Input: prompt, MaxTokens: 10, Deadline: time.Unix(5000, 0)}}
}

// The blocks of a prompt are hashed once per request, however often it is placed.
func TestPromptIsHashedOnce(t *testing.T) {
	req := longPlacementRequest()
	first := featuresOf(req)
	require.Len(t, first.Blocks, routing.MaxBlocks)
	require.Equal(t, routing.Blocks(nil, "m", "", req.Spec.Input), first.Blocks)
	require.Zero(t, testing.AllocsPerRun(100, func() { featuresOf(req) }))
	req.Avoid = append(req.Avoid, "u1")
	again := featuresOf(req)
	require.Same(t, &first.Blocks[0], &again.Blocks[0])
	require.Equal(t, "u1", string(again.Avoid))
}

// BenchmarkFeatures measures the work of each placement attempt before any choice.
func BenchmarkFeatures(b *testing.B) {
	req := longPlacementRequest()
	b.ReportAllocs()
	for b.Loop() {
		featuresOf(req)
	}
}
