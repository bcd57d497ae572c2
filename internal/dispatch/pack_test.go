package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/request"
)

func TestPackedAnswerIsReadUnchanged(t *testing.T) {
	e := newEntry(request.Record{Generation: "g", Phase: request.PhaseRunning}, nil)
	tokens := []string{"to", "", "kens", " of an answer"}
	for i, token := range tokens {
		e.addToken("g", i, token)
	}
	e.pack()
	require.Equal(t, tokens, e.record.Tokens, "a request in progress is not packed")
	require.True(t, e.inProgress())

	require.True(t, e.finish(request.PhaseDone, nil))
	before := e.snapshot()
	e.pack()
	require.Empty(t, e.record.Tokens)
	require.Equal(t, before, e.snapshot())
	require.Equal(t, before, e.view().record)
	require.False(t, e.inProgress())

	e.addToken("g", 0, "late")
	e.addToken("g", len(tokens), "later")
	require.False(t, e.restartAfter(Position{Received: []string{"x"}, Offset: 1}, "g2"))
	e.pack()
	require.Equal(t, before, e.snapshot())

	var got []string
	follower := localAttachment{entry: e, position: Position{Generation: "g", Offset: 1}}
	require.NoError(t, follower.Follow(t.Context(), func(event Event) error {
		if event.Kind == EventToken {
			got = append(got, event.Text)
		}
		if event.Kind == EventDone {
			require.Equal(t, len(tokens), event.Tokens)
		}
		return nil
	}))
	require.Equal(t, tokens[1:], got)
}
