package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/verdict"
)

// requireUnanswered fetches, cancels and resumes id at node and checks that each call is
// refused, with a RetryAfter unless final. A resume is always refused as unknown, so that
// the caller submits the request again with its tokens.
func requireUnanswered(t *testing.T, node *fakeNode, id ident.RequestID, final bool) {
	t.Helper()
	want := verdict.CodeWitnessLost
	if final {
		want = verdict.CodeUnknownRequest
	}
	_, fetch := node.dispatcher.Fetch(t.Context(), id, "w")
	requireRefusal(t, fetch, want, final)
	_, cancel := node.dispatcher.Cancel(t.Context(), id, "w")
	requireRefusal(t, cancel, want, final)
	_, resume := node.dispatcher.Resume(t.Context(), dispatch.Resumption{ID: id, Workspace: "w"})
	requireRefusal(t, resume, verdict.CodeUnknownRequest, final)
}

func requireRefusal(t *testing.T, err error, code verdict.Code, final bool) {
	t.Helper()
	require.Error(t, err)
	refusal := verdict.From(err)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
	require.Equal(t, code, refusal.Code)
	require.Equal(t, final, refusal.RetryAfter == 0, "retry after %s", refusal.RetryAfter)
}

func TestRefusalIsFinalOnceHomeAndWitnessHaveEnded(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	id := nonIdempotentSpec(home, wit).ID
	site.makeUnreachable(wit)
	requireUnanswered(t, home, id, false)
	requireUnanswered(t, other, id, false)
	site.setState(wit.self.Incarnation, membership.StateDead)
	requireUnanswered(t, home, id, true)
	requireUnanswered(t, other, id, true) // the home answers that it does not know the ID
	site.makeUnreachable(home)
	requireUnanswered(t, other, id, false)
	site.setState(home.self.Incarnation, membership.StateSuspect)
	requireUnanswered(t, other, id, false)
	site.setState(home.self.Incarnation, membership.StateDead)
	requireUnanswered(t, other, id, true)
}
