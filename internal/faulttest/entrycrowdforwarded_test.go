package faulttest

import (
	"net"
	"strings"
	"testing"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
)

// TestForwardedBodiesDoNotEndTheNodes lets a crowd send long requests to a node that forwards them to their
// home, without waiting for an answer.
func TestForwardedBodiesDoNotEndTheNodes(t *testing.T) {
	s, watches := startEntryCrowdSite(t)
	home, witness := s.incarnation(s.nodes[0]), s.incarnation(s.nodes[1])
	dial := func(int) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(t.Context(), "tcp4", s.nodes[1].settings.CallerListen)
	}
	const requests = 4
	input := strings.Repeat("x", entryCrowdInput)
	releaseCrowd(t, entryCrowdClients, dial, func(c *crowdClient) {
		for ok, i := true, 0; ok && i < requests; i++ {
			in := chatSubmission(input)
			in.ID = callerapi.NewOptString(ident.NewRequestID(home, witness).String())
			ok = c.write(entryRequest(&in))
		}
	})
	for _, n := range s.nodes {
		s.requireOrdinaryCall(t, n)
	}
	for _, watch := range watches {
		watch.requireWithin(t, entryCrowdMemoryMB, entryCrowdSockets)
	}
}
