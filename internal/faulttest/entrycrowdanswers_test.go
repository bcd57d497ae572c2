package faulttest

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
)

// TestLargeAnswersDoNotEndTheNode lets clients call a service whose answers are as long as its requests, one
// call after another, and read the answers.
func TestLargeAnswersDoNotEndTheNode(t *testing.T) {
	s, watches := startEntryCrowdSite(t)
	home, witness := s.incarnation(s.nodes[0]), s.incarnation(s.nodes[1])
	dial := func(int) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(t.Context(), "tcp4", s.nodes[0].settings.CallerListen)
	}
	input := strings.Repeat("x", entryCrowdInput)
	const clients, calls = 8, 40
	releaseCrowd(t, clients, dial, func(c *crowdClient) {
		reader := bufio.NewReader(c.conn)
		for ok, i := true, 0; ok && i < calls; i++ {
			in := dockHoldSubmission(input)
			in.ID = callerapi.NewOptString(ident.NewRequestID(home, witness).String())
			ok = c.write(entryRequest(&in)) && skipResponse(reader)
		}
	})
	s.requireOrdinaryCall(t, s.nodes[0])
	for _, watch := range watches {
		watch.requireWithin(t, entryCrowdMemoryMB, entryCrowdSockets)
	}
}
