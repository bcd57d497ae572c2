package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/verdict"
)

// No reachable node knows the stream that is resumed: the caller is told to submit it
// again, and it continues after the caller's tokens.
func TestStreamIsResubmittedWhenHomeAndWitnessAreLost(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	site.addEngine("e1", time.Millisecond)
	s := spec(home, wit, 120)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 10)
	position := dispatch.Position{Generation: got.generation, Offset: len(got.tokens)}
	site.makeUnreachable(home)
	site.makeUnreachable(wit)
	requireUnknown := func(final bool) {
		_, err := other.dispatcher.Resume(t.Context(), dispatch.Resumption{ID: s.ID, Workspace: "w", Position: position})
		refusal := verdict.From(err)
		require.Equal(t, verdict.CodeUnknownRequest, refusal.Code)
		require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
		require.Equal(t, final, refusal.RetryAfter == 0)
	}
	requireUnknown(false)
	site.setState(wit.self.Incarnation, membership.StateDead)
	requireUnknown(false)
	site.setState(home.self.Incarnation, membership.StateDead)
	requireUnknown(true)

	position.Received = got.tokens
	b, err := other.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s, Position: position})
	require.NoError(t, err)
	got.follow(t, b, 0)
	got.requireWhole(t, 120)
}
