package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/standin/chain"
)

// spec returns an idempotent model request with the given home, witness and token limit.
func spec(home, wit *fakeNode, tokens int) request.Spec {
	return request.Spec{
		ID: ident.NewRequestID(home.self.Incarnation, wit.self.Incarnation), Workspace: "w", Kind: "draft", Model: "m",
		Input: prompt, MaxTokens: tokens, Deadline: time.Now().Add(20 * time.Second), Idempotent: true, Stream: true,
	}
}

// received collects the events of a follower.
type received struct {
	generation ident.Generation
	tokens     []string
	last       dispatch.Event
}

// follow reads events until the last one, or until there are stop tokens in total if
// stop is not 0.
func (r *received) follow(t testing.TB, a dispatch.Attachment, stop int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_ = a.Follow(ctx, func(e dispatch.Event) error {
		switch e.Kind {
		case dispatch.EventAccepted:
			r.generation = e.Generation
		case dispatch.EventToken:
			require.Equal(t, len(r.tokens), e.Offset, "a token is missing or duplicated")
			r.tokens = append(r.tokens, e.Text)
		}
		r.last = e
		if stop > 0 && len(r.tokens) >= stop {
			return context.Canceled
		}
		return nil
	})
}

// requireWhole checks that the request is done and that its answer to prompt is complete.
func (r *received) requireWhole(t *testing.T, tokens int) {
	t.Helper()
	r.requireWholeOf(t, prompt, tokens)
}

// requireWholeOf is requireWhole for another input.
func (r *received) requireWholeOf(t *testing.T, input string, tokens int) {
	t.Helper()
	require.Equal(t, dispatch.EventDone, r.last.Kind, "%+v", r.last.Failure)
	require.Len(t, r.tokens, tokens)
	require.NoError(t, chain.Verify(input, r.tokens))
}
