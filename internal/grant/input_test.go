package grant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

func TestWitnessDropsTheInputOfARequestThatHasEnded(t *testing.T) {
	for name, end := range map[string]func(*Table, ident.RequestID) error{
		"finished": func(table *Table, id ident.RequestID) error {
			_, err := table.Finish(&FinishRequest{ID: id, Holder: "n1", Epoch: firstEpoch, Record: request.Record{Phase: request.PhaseDone}})
			return err
		},
		"cancelled": func(table *Table, id ident.RequestID) error {
			_, err := table.Cancel(&CancelRequest{ID: id, Workspace: "w"})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(10)
			id := ident.NewRequestID("n1_0123456789abcdef", "n2_0123456789abcdef")
			spec := request.Spec{ID: id, Workspace: "w", Input: "a prompt", Idempotent: true}
			_, err := table.Claim(&ClaimRequest{ID: id, Spec: &spec, Holder: "n1"})
			require.NoError(t, err)
			reply, err := table.Fetch(&FetchRequest{ID: id})
			require.NoError(t, err)
			require.Equal(t, "a prompt", reply.Record.Spec.Input, "another node may have to run it")
			require.NoError(t, end(table, id))
			reply, err = table.Fetch(&FetchRequest{ID: id})
			require.NoError(t, err)
			require.Empty(t, reply.Record.Spec.Input)
		})
	}
}

func TestOnlyRequestsWithAnAnswerAreDroppedForMemory(t *testing.T) {
	table := NewTable(10)
	ids := make(map[string]ident.RequestID)
	for _, name := range []string{"done", "cancelled", "running"} {
		ids[name] = ident.NewRequestID("n1_0123456789abcdef", "n2_0123456789abcdef")
		spec := request.Spec{ID: ids[name], Workspace: "w", Input: "a prompt", Idempotent: true}
		_, err := table.Claim(&ClaimRequest{ID: ids[name], Spec: &spec, Holder: "n1"})
		require.NoError(t, err)
	}
	_, err := table.Finish(&FinishRequest{ID: ids["done"], Holder: "n1", Epoch: firstEpoch, Record: request.Record{Phase: request.PhaseDone, Output: "answer"}})
	require.NoError(t, err)
	_, err = table.Cancel(&CancelRequest{ID: ids["cancelled"], Workspace: "w"})
	require.NoError(t, err)
	kept := table.Kept(nil)
	require.Len(t, kept, 1)
	require.Equal(t, ids["done"], kept[0].ID)
	for _, id := range ids {
		table.Drop(id)
	}
	for name, id := range ids {
		reply, err := table.Fetch(&FetchRequest{ID: id})
		require.NoError(t, err)
		require.Equal(t, name != "done", reply.Found, name)
	}
}
