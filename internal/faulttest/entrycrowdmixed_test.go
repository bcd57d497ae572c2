package faulttest

import (
	"net"
	"strings"
	"testing"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
)

// entryCrowdKinds is the number of kinds of clients of a mixed crowd, and entryCrowdCalls that of the requests of
// those that send whole ones.
const entryCrowdKinds, entryCrowdCalls = 7, 4

// TestMixedCrowdOfCallersDoesNotEndTheNodes lets a crowd come to both nodes of a site that sends all that
// the other crowds send, with requests at their homes and at the other node.
func TestMixedCrowdOfCallersDoesNotEndTheNodes(t *testing.T) {
	s, watches := startEntryCrowdSiteWith(t, siteOptions{replyBytes: entryCrowdReply})
	const clients = 400
	dial := func(i int) (net.Conn, error) {
		dialer := net.Dialer{Control: smallReceiveBuffer}
		return dialer.DialContext(t.Context(), "tcp4", s.nodes[i%2].settings.CallerListen)
	}
	input := strings.Repeat("x", entryCrowdInput)
	releaseCrowd(t, clients, dial, func(c *crowdClient) {
		switch c.number / 2 % entryCrowdKinds {
		case 0:
			_ = c.write(entryLengthHead(entryCrowdMaxBody)) && c.write(entryShortBody)
		case 1:
			_ = c.write([]byte(entryHead(callerToken)+"Transfer-Encoding: chunked\r\n\r\n")) && c.sendChunks(entryCrowdMaxBody-crowdPiece, crowdPiece)
		case 2:
			s.sendEntryCalls(c, chatSubmission(input))
		case 3:
			s.sendEntryCalls(c, dockHoldSubmission("a call"))
		case 4:
			s.sendEntryCalls(c, dockHoldSubmission(input))
		case 5:
			_ = c.write([]byte(entryHead(callerToken) + "X-Long: " + strings.Repeat("x", 7<<10)))
		case 6:
			in := chatSubmission("a prompt")
			_ = c.write(entryRequest(&in)) && c.write(entryLengthHead(entryCrowdMaxBody)) && c.write(entryShortBody)
		}
	})
	for _, n := range s.nodes {
		s.requireOrdinaryCall(t, n)
	}
	for _, watch := range watches {
		watch.requireWithin(t, entryCrowdMemoryMB, entryCrowdSockets)
	}
}

// sendEntryCalls sends a request several times without waiting for an answer, with IDs whose homes are the two
// nodes of the site in turn.
func (s *site) sendEntryCalls(c *crowdClient, in callerapi.Submission) {
	for i := range entryCrowdCalls {
		home, witness := s.nodes[(c.number/2+i)%2], s.nodes[(c.number/2+i+1)%2]
		in.ID = callerapi.NewOptString(ident.NewRequestID(s.incarnation(home), s.incarnation(witness)).String())
		if !c.write(entryRequest(&in)) {
			return
		}
	}
}
