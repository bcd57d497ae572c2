package callerclient

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNewRequestsSpreadOverTheHomes(t *testing.T) {
	const requests = 200
	script := make([]reply, requests)
	for i := range script {
		script[i] = answer("$ID", "ok")
	}
	site := newFakeSite(t, script...)
	client := site.client()
	for range requests {
		require.Equal(t, OutcomeComplete, client.Send(t.Context(), submission(false, false), nil).Outcome)
	}

	perNode := make(map[string]int)
	for _, call := range site.recordedCalls() {
		perNode[call.node]++
		home := 0
		if call.node == site.nodes[1].URL {
			home = 1
		}
		require.True(t, strings.HasPrefix(call.sub.ID.Or(""), prefixOf(home)), "a request is sent to its home first")
	}
	require.Len(t, perNode, 2)
	for node, count := range perNode {
		require.Greater(t, count, requests/4, node)
	}
}

func TestNewRequestsAvoidAHomeThatFailedRecently(t *testing.T) {
	site := newFakeSite(t, answer("$ID", "ok"), answer("$ID", "ok"), answer("$ID", "ok"), answer("$ID", "ok"))
	client := site.client()
	client.markFailed(site.nodes[0].URL)
	for range 4 {
		require.Equal(t, OutcomeComplete, client.Send(t.Context(), submission(false, false), nil).Outcome)
	}
	for _, call := range site.recordedCalls() {
		require.Equal(t, site.nodes[1].URL, call.node)
	}
}
