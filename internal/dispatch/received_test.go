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

// spec is a request whose home and witness are the given nodes.
func spec(home, wit *fakeNode, tokens int) request.Spec {
	return request.Spec{
		ID: ident.NewRequestID(home.self.Incarnation, wit.self.Incarnation), Workspace: "w", Kind: "draft", Model: "m",
		Input: prompt, MaxTokens: tokens, Deadline: time.Now().Add(20 * time.Second), Idempotent: true, Stream: true,
	}
}

// received is what a follower got.
type received struct {
	generation ident.Generation
	tokens     []string
	last       dispatch.Event
}

// follow reads events until the last one, or until stop tokens have come.
func (r *received) follow(t testing.TB, a dispatch.Attachment, stop int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_ = a.Follow(ctx, func(e dispatch.Event) error {
		switch e.Kind {
		case dispatch.EventAccepted:
			r.generation = e.Generation
		case dispatch.EventToken:
			require.Equal(t, len(r.tokens), e.Offset, "a token is missing or came twice")
			r.tokens = append(r.tokens, e.Text)
		}
		r.last = e
		if stop > 0 && len(r.tokens) >= stop {
			return context.Canceled
		}
		return nil
	})
}

func (r *received) requireWhole(t *testing.T, tokens int) {
	t.Helper()
	r.requireWholeOf(t, prompt, tokens)
}

// requireWholeOf is requireWhole of the answer to another input.
func (r *received) requireWholeOf(t *testing.T, input string, tokens int) {
	t.Helper()
	require.Equal(t, dispatch.EventDone, r.last.Kind, "%+v", r.last.Failure)
	require.Len(t, r.tokens, tokens)
	require.NoError(t, chain.Verify(input, r.tokens))
}
