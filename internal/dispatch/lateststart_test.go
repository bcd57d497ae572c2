package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
)

// The router hears by when a request needs its place, until it was sent: after
// that it is not given up for want of one.
func TestRouterHearsTheLatestStartOfWhatWasNotSent(t *testing.T) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	first := site.addEngine("e1", 5*time.Millisecond)
	site.addEngine("e2", time.Millisecond)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: spec(home, wit, longStream)})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 10)
	kill(first)
	b, err := home.dispatcher.Resume(t.Context(), dispatch.Resumption{
		ID: idOf(t, home), Workspace: "w",
		Position: dispatch.Position{Generation: got.generation, Offset: len(got.tokens)},
	})
	require.NoError(t, err)
	got.follow(t, b, 0)
	site.mu.Lock()
	defer site.mu.Unlock()
	require.GreaterOrEqual(t, len(site.latestStarts), 2)
	require.False(t, site.latestStarts[0].IsZero())
	for _, at := range site.latestStarts[1:] {
		require.True(t, at.IsZero())
	}
}
