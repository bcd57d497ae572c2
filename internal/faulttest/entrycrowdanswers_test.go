package faulttest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

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

// entryCrowdReply is the length of a long reply of a plain service, in bytes.
const entryCrowdReply = 3 << 20

// longReplyCrowds are crowds of which each client sends several small requests without waiting for an answer, all
// answered with long replies of a plain service.
var longReplyCrowds = []struct {
	name string
	// node is the number of the node that the clients connect to; their requests' home is the first.
	node int
	// read is true if the clients read their answers.
	read bool
	// fetched is true if all clients fetch the answer of one request.
	fetched bool
}{
	{name: "NobodyReads"},
	{name: "Read", read: true},
	{name: "ForwardedAndNobodyReads", node: 1},
	{name: "FetchedAndNobodyReads", fetched: true},
	{name: "FetchedElsewhereAndNobodyReads", node: 1, fetched: true},
}

// TestLongRepliesDoNotEndTheNode lets crowds get long replies of a plain service.
func TestLongRepliesDoNotEndTheNode(t *testing.T) {
	for _, crowd := range longReplyCrowds {
		t.Run(crowd.name, func(t *testing.T) {
			s, watches := startEntryCrowdSiteWith(t, siteOptions{replyBytes: entryCrowdReply})
			newCall := func() (string, []byte) {
				in := dockHoldSubmission("a call")
				id := ident.NewRequestID(s.incarnation(s.nodes[0]), s.incarnation(s.nodes[1])).String()
				in.ID = callerapi.NewOptString(id)
				return id, entryRequest(&in)
			}
			request := func() []byte {
				_, call := newCall()
				return call
			}
			address := s.nodes[crowd.node].settings.CallerListen
			if crowd.fetched {
				id, call := newCall()
				s.requireAnswered(t, s.nodes[0].settings.CallerListen, call)
				fetch := fmt.Appendf(nil, "GET /v1/requests/%s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\n\r\n", id, callerToken)
				request = func() []byte { return fetch }
			}
			dial := func(int) (net.Conn, error) {
				dialer := net.Dialer{Control: smallReceiveBuffer}
				return dialer.DialContext(t.Context(), "tcp4", address)
			}
			const calls = 4
			releaseCrowd(t, entryCrowdClients, dial, func(c *crowdClient) {
				reader := bufio.NewReader(c.conn)
				for ok, i := true, 0; ok && i < calls; i++ {
					ok = c.write(request()) && (!crowd.read || skipResponse(reader))
				}
			})
			for _, n := range s.nodes {
				s.requireOrdinaryCall(t, n)
			}
			for _, watch := range watches {
				watch.requireWithin(t, entryCrowdMemoryMB, entryCrowdSockets)
			}
		})
	}
}

// requireAnswered sends a request on a new connection to address and requires that it is answered.
func (s *site) requireAnswered(t *testing.T, address string, request []byte) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(request)
	require.NoError(t, err)
	require.True(t, skipResponse(bufio.NewReader(conn)), "no answer")
}

// smallReceiveBuffer is the Control hook of a dialer whose connections take little that is not read.
func smallReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var failure error
	err := socket.Control(func(fd uintptr) { failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	return errors.Join(err, failure)
}
