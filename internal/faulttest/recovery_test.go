package faulttest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/standin/history"
)

// TestTheNoticeOfThePlatformDecidesHowStreamsGoOn reclaims an engine under its
// streams and asks the nodes, as an operator does, how they went on and why.
func TestTheNoticeOfThePlatformDecidesHowStreamsGoOn(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 12})
	calls := s.streams(12, func() { s.reclaimUpstream(s.busiestEngine(), 2*time.Second) })
	requireWhole(t, calls)
	told := 0
	for _, call := range calls {
		text := s.explainRequest(s.nodes[0], call.IDs[0])
		if strings.Contains(text, "it was decided how the stream goes on") && strings.Contains(text, "of notice are left") {
			told++
			t.Log(text)
		}
	}
	require.Positive(t, told, "no decision was told with the notice that was left")
	counted := ""
	for _, n := range s.nodes {
		counted += s.metricsOf(n)
	}
	require.Regexp(t, `mangoledge_streams_recovered_total\{method="(stay|transfer|prefill)"\} [1-9]`, counted)
	require.Contains(t, counted, `mangoledge_streams_recomputed_tokens_total{method="prefill"}`)
	s.check()
}

// busiestEngine returns the engine that has begun the most streams.
func (s *site) busiestEngine() *upstream {
	begun := make(map[string]int)
	for _, run := range s.history().StandinEntries {
		if run.Event == history.EventStart {
			begun[run.Standin]++
		}
	}
	return slices.MaxFunc(s.engines, func(a, b *upstream) int { return cmp.Compare(begun[a.name], begun[b.name]) })
}

// explainRequest asks a node to explain a request and returns the text.
func (s *site) explainRequest(n *node, id string) string {
	body, err := json.Marshal(map[string]string{"command": "explain request " + id})
	require.NoError(s.t, err)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+n.settings.OperatorListen+"/v1/command", bytes.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	req.Header.Set("Content-Type", "application/json")
	var result struct {
		Text string `json:"text"`
	}
	require.NoError(s.t, json.Unmarshal(s.read(req), &result))
	return result.Text
}

// metricsOf returns the metrics of a node as text.
func (s *site) metricsOf(n *node) string {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+n.settings.OperatorListen+"/metrics", nil)
	require.NoError(s.t, err)
	return string(s.read(req))
}

// read returns the answer to a request of the harness, which must be a good one.
func (s *site) read(req *http.Request) []byte {
	resp, err := patientClient.Do(req)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusOK, resp.StatusCode, string(data))
	return data
}
