package grant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/request"
)

func TestPackedTokensSurviveFinishAndHandOver(t *testing.T) {
	tokens := []string{"to", "", "kens"}
	table := NewTable(10)
	claim(t, table, home, true, 0)
	final := request.Record{Phase: request.PhaseDone, Generation: "g", Tokens: tokens}
	require.Equal(t, len(tokens), finish(t, table, home, 1, final).Known)
	require.Empty(t, table.entries[testID].Record.Tokens, "tokens are packed after the finish")
	require.Equal(t, len(tokens), finish(t, table, home, 1, final).Known)
	requireTokens(t, table, tokens)

	require.NoError(t, table.Close(other))
	snapshot, err := table.Snapshot()
	require.NoError(t, err)
	data, err := snapshot.Encode()
	require.NoError(t, err)
	back, err := DecodeSnapshot(data)
	require.NoError(t, err)
	require.Equal(t, tokens, back.Entries[0].Record.Tokens, "nodes of other releases read the tokens from Record")
	next := NewSuccessorTable(10)
	next.Install(back)
	require.Empty(t, next.entries[testID].Record.Tokens)
	requireTokens(t, next, tokens)
}

func requireTokens(t *testing.T, table *Table, want []string) {
	t.Helper()
	fetched, err := table.Fetch(&FetchRequest{ID: testID})
	require.NoError(t, err)
	require.Equal(t, want, fetched.Record.Tokens)
	claimed := claim(t, table, other, true, 1)
	require.Equal(t, want, claimed.Record.Tokens)
}
