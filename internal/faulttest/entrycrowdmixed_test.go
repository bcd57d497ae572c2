package faulttest

import (
	"net"
	"strings"
	"testing"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
)

// TestMixedCrowdOfCallersDoesNotEndTheNodes lets a crowd come to both nodes of a site that sends all that
// the other crowds send, with requests at their homes and at the other node.
func TestMixedCrowdOfCallersDoesNotEndTheNodes(t *testing.T) {
	s, watches := startEntryCrowdSiteWith(t, siteOptions{replyBytes: entryCrowdReply})
	const clients, kinds = 400, 7
	withID := func(in callerapi.Submission, home int) []byte {
		id := ident.NewRequestID(s.incarnation(s.nodes[home]), s.incarnation(s.nodes[1-home]))
		in.ID = callerapi.NewOptString(id.String())
		return entryRequest(&in)
	}
	dial := func(i int) (net.Conn, error) {
		dialer := net.Dialer{Control: smallReceiveBuffer}
		return dialer.DialContext(t.Context(), "tcp4", s.nodes[i%2].settings.CallerListen)
	}
	input := strings.Repeat("x", entryCrowdInput)
	releaseCrowd(t, clients, dial, func(c *crowdClient) {
		const requests = 4
		for ok, i := true, 0; ok && i < requests; i++ {
			home := (c.number/2 + i) % 2
			switch c.number / 2 % kinds {
			case 0:
				ok = c.write(entryLengthHead(entryCrowdMaxBody)) && c.write(entryShortBody) && false
			case 1:
				ok = c.write([]byte(entryHead(callerToken)+"Transfer-Encoding: chunked\r\n\r\n")) && c.sendChunks(entryCrowdMaxBody-crowdPiece, crowdPiece) && false
			case 2:
				ok = c.write(withID(chatSubmission(input), home))
			case 3:
				ok = c.write(withID(dockHoldSubmission("a call"), home))
			case 4:
				ok = c.write(withID(dockHoldSubmission(input), home))
			case 5:
				ok = c.write([]byte(entryHead(callerToken)+"X-Long: "+strings.Repeat("x", 7<<10))) && false
			case 6:
				ok = c.write(withID(chatSubmission("a prompt"), home)) && c.write(entryLengthHead(entryCrowdMaxBody)) && c.write(entryShortBody) && false
			}
		}
	})
	for _, n := range s.nodes {
		s.requireOrdinaryCall(t, n)
	}
	for _, watch := range watches {
		watch.requireWithin(t, entryCrowdMemoryMB, entryCrowdSockets)
	}
}
