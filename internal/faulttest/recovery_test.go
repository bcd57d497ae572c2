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

// TestPlatformNoticeDecidesHowStreamsContinue reclaims an engine that runs streams and asks a
// node, as an operator does, how the streams continued and why.
func TestPlatformNoticeDecidesHowStreamsContinue(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 12})
	calls := s.runStreams(12, func() { s.reclaimUpstream(s.busiestEngine(), 2*time.Second) })
	requireComplete(t, calls)
	explained := 0
	for _, call := range calls {
		text := s.explainRequest(s.nodes[0], call.IDs[0])
		if strings.Contains(text, "it was decided how the stream goes on") && strings.Contains(text, "of notice are left") {
			explained++
			t.Log(text)
		}
	}
	require.Positive(t, explained, "no explanation gives the decision with the notice that was left")
	metrics := ""
	for _, n := range s.nodes {
		metrics += s.metricsOf(n)
	}
	require.Regexp(t, `mangoledge_streams_recovered_total\{method="(stay|transfer|prefill)"\} [1-9]`, metrics)
	require.Contains(t, metrics, `mangoledge_streams_recomputed_tokens_total{method="prefill"}`)
	s.checkHistory()
}

// busiestEngine returns the engine that has begun the most requests.
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
	require.NoError(s.t, json.Unmarshal(s.readOK(req), &result))
	return result.Text
}

// metricsOf returns the metrics of a node as text.
func (s *site) metricsOf(n *node) string {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+n.settings.OperatorListen+"/metrics", nil)
	require.NoError(s.t, err)
	return string(s.readOK(req))
}

// readOK sends a request of the test itself and returns the body of the answer, whose status
// must be 200.
func (s *site) readOK(req *http.Request) []byte {
	resp, err := longTimeoutClient.Do(req)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusOK, resp.StatusCode, string(data))
	return data
}
