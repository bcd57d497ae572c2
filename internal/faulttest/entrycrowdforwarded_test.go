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

// TestInputsAtOneWitnessDoNotEndIt lets a crowd send long requests to several homes whose witness is the same
// node.
func TestInputsAtOneWitnessDoNotEndIt(t *testing.T) {
	const homes = 6
	s, watches := startEntryCrowdSiteWith(t, siteOptions{nodes: homes + 1})
	witness := s.incarnation(s.nodes[homes])
	dial := func(i int) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(t.Context(), "tcp4", s.nodes[i%homes].settings.CallerListen)
	}
	input := strings.Repeat("x", entryCrowdInput)
	releaseCrowd(t, entryCrowdClients, dial, func(c *crowdClient) {
		in := chatSubmission(input)
		in.ID = callerapi.NewOptString(ident.NewRequestID(s.incarnation(s.nodes[c.number%homes]), witness).String())
		_ = c.write(entryRequest(&in))
	})
	for _, n := range s.nodes {
		s.requireOrdinaryCall(t, n)
	}
	for _, watch := range watches {
		watch.requireWithin(t, entryCrowdMemoryMB, entryCrowdSockets)
	}
}
