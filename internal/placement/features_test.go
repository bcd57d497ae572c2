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

// longNeed returns a request whose prompt has routing.MaxBlocks blocks.
func longNeed() *dispatch.PlacementRequest {
	prompt := strings.Repeat("a packet to audit ", routing.MaxBlocks*routing.BlockBytes/18+1)
	return &dispatch.PlacementRequest{Spec: &request.Spec{Model: "m", Input: prompt, MaxTokens: 10, Deadline: time.Unix(5000, 0)}}
}

// The blocks of a prompt are hashed once per request, however often it is placed.
func TestPromptIsHashedOnce(t *testing.T) {
	need := longNeed()
	first := featuresOf(need)
	require.Len(t, first.Blocks, routing.MaxBlocks)
	require.Equal(t, routing.Blocks(nil, "m", "", need.Spec.Input), first.Blocks)
	require.Zero(t, testing.AllocsPerRun(100, func() { featuresOf(need) }))
	need.Avoid = append(need.Avoid, "u1")
	again := featuresOf(need)
	require.Same(t, &first.Blocks[0], &again.Blocks[0])
	require.Equal(t, "u1", string(again.Avoid))
}

// BenchmarkFeatures measures the work of each placement attempt before any choice.
func BenchmarkFeatures(b *testing.B) {
	need := longNeed()
	b.ReportAllocs()
	for b.Loop() {
		featuresOf(need)
	}
}
