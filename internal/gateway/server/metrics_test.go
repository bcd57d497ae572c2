package server_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// TestCountersAreServedUnderTheirDocumentedNames guards against counters that dashboards don't find.
func TestCountersAreServedUnderTheirDocumentedNames(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("i-p", "plain")
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	require.Equal(t, http.StatusNotFound, s.send(n, request{path: "/unknown/x"}).status)
	_, metrics := s.getInternal(n, platformtest.MetricsPort, "/metrics")
	for _, name := range []string{"answered", "answer_ends", "refused", "store_calls"} {
		require.Contains(t, metrics, "# TYPE mangoledge_gateway_"+name+"_total counter\n")
	}
}
