package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/capacity"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// commandResponse is the response to an operator command.
type commandResponse struct {
	Rows    [][]string `json:"rows"`
	Text    string     `json:"text"`
	Outcome string     `json:"outcome"`
}

func TestNodeWithoutCloudShowsDrainsAndLeases(t *testing.T) {
	s, client := startSecureNode(t, io.Discard)
	command := func(text string) commandResponse {
		body, err := json.Marshal(map[string]string{"command": text})
		require.NoError(t, err)
		status, answer := sendRequest(t, client, http.MethodPost, "https://"+s.OperatorListen+"/v1/command", "planted-operator-token", string(body))
		require.Equal(t, http.StatusOK, status, answer)
		var out commandResponse
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

// startPlainNode starts a node without TLS that uses the store at storeURL.
func startPlainNode(t *testing.T, storeURL string, seeds ...string) (*settings.Settings, *Node) {
	t.Helper()
	s := &settings.Settings{
		Node: "n1", Region: "default", FailureDomain: "a", Host: "h1", Seeds: seeds,
		CallerListen: freeAddress(t), OperatorListen: freeAddress(t), PeerListen: freeAddress(t), PeerToken: "secret",
		Platform: settings.Platform{ObjectsURL: storeURL},
		Tokens:   []settings.Token{{Name: "desk", Role: settings.RoleOperator, SHA256: auth.Digest("o")}},
		Log:      settings.Log{Level: "error", Format: "json"},
		Limits:   settings.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConcurrent: 16, HeaderTimeoutMs: 5000, BodyTimeoutMs: 5000, DrainTimeoutMs: 1000, AddressKeepMs: 1000},
	}
	s.CallerURL, s.PeerAdvertise = "http://"+s.CallerListen, s.PeerListen
	n, err := New(s, io.Discard)
	require.NoError(t, err)
	require.NoError(t, n.Start(t.Context()))
	return s, n
}

// upstreamStates returns the states of the upstreams that a node shows, by upstream ID.
func upstreamStates(t *testing.T, s *settings.Settings, client *http.Client) map[string]string {
	t.Helper()
	status, answer := sendRequest(t, client, http.MethodPost, "http://"+s.OperatorListen+"/v1/command", "o", `{"command":"show upstreams"}`)
	require.Equal(t, http.StatusOK, status, answer)
	var response commandResponse
	require.NoError(t, json.Unmarshal([]byte(answer), &response))
	out := make(map[string]string)
	for _, row := range response.Rows {
		out[row[0]] = row[1]
	}
	return out
}

func TestDrainedHostStaysLeavingAfterEveryNodeIsReplaced(t *testing.T) {
	store := httptest.NewServer(platform.NewServer(platform.Options{}))
	defer store.Close()
	objectStore := objects.NewClient(objects.Options{BaseURL: store.URL})
	defer objectStore.Close()
	list, err := json.Marshal(fleet.DomainList{Upstreams: []fleet.Upstream{
		{ID: "u1", URL: "http://127.0.0.1:1", Host: "h7", FailureDomain: "a", Models: []ident.Model{"m"}, Slots: 1, State: fleet.StateReady},
		{ID: "u2", URL: "http://127.0.0.1:1", Host: "h8", FailureDomain: "a", Models: []ident.Model{"m"}, Slots: 1, State: fleet.StateReady},
	}})
	require.NoError(t, err)
	_, err = objectStore.Create(t.Context(), objects.Object{Kind: fleet.UpstreamsKind, Metadata: objects.Metadata{Name: "a"}, Spec: list})
	require.NoError(t, err)
	client := &http.Client{Timeout: 10 * time.Second}
	want := map[string]string{"u1": "leaving", "u2": "ready"}

	for run, command := range []string{`{"command":"drain host h7"}`, `{"command":"show drains"}`} {
		s, n := startPlainNode(t, store.URL)
		status, answer := sendRequest(t, client, http.MethodPost, "http://"+s.OperatorListen+"/v1/command", "o", command)
		require.Equal(t, http.StatusOK, status, answer)
		require.Eventually(t, func() bool { return reflect.DeepEqual(want, upstreamStates(t, s, client)) }, 10*time.Second, 20*time.Millisecond, "run %d", run)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		n.Drain(ctx)
		cancel()
	}
}
