package node

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/capacity"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// commandAnswer is what operators get of a command.
type commandAnswer struct {
	Rows    [][]string `json:"rows"`
	Text    string     `json:"text"`
	Outcome string     `json:"outcome"`
}

func TestDrainsAndLeasesAreToldByANodeWithoutACloud(t *testing.T) {
	s, client := startSecureNode(t, io.Discard)
	command := func(text string) commandAnswer {
		body, err := json.Marshal(map[string]string{"command": text})
		require.NoError(t, err)
		status, answer := ask(t, client, http.MethodPost, "https://"+s.OperatorListen+"/v1/command", "planted-operator-token", string(body))
		require.Equal(t, http.StatusOK, status, answer)
		var out commandAnswer
		require.NoError(t, json.Unmarshal([]byte(answer), &out))
		return out
	}
	store := objects.NewClient(objects.Options{BaseURL: s.Platform.ObjectsURL})
	defer store.Close()
	held := lease.New(lease.Options{Store: store, Name: capacity.LeaseName, Holder: "other_1"})
	require.NoError(t, held.Step(t.Context()))
	require.Equal(t, [][]string{{"capacity", "other_1", "1", "10000", "false"}}, command("show leases").Rows)

	drained := command("drain host h7")
	require.Equal(t, "accepted", drained.Outcome, drained.Text)
	require.Eventually(t, func() bool { return len(command("show drains").Rows) == 1 }, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, "host/h7", command("show drains").Rows[0][0])
	require.Contains(t, command("explain host h7").Text, "an operator drains host/h7, until `clear drain host/h7`")
	require.Equal(t, "refused", command("clear leaving h7").Outcome)
	require.Equal(t, "accepted", command("clear drain host/h7").Outcome)
	require.Eventually(t, func() bool { return len(command("show drains").Rows) == 0 }, 10*time.Second, 20*time.Millisecond)
	require.Contains(t, command("explain host h7").Text, "drain cleared")
	require.Equal(t, "refused", command("clear drain host/h7").Outcome)
	require.Empty(t, command("show rollouts").Rows)
}
