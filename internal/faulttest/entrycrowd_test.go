package faulttest

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
)

const (
	// entryCrowdMemoryMB is the memory limit of the node, and the bound of what it holds.
	entryCrowdMemoryMB = 96
	// entryCrowdMaxBody is the largest legal body, in bytes; it is the default of the settings.
	entryCrowdMaxBody = 2 << 20
	// entryCrowdClients is the number of clients that don't behave.
	entryCrowdClients = 150
	// entryCrowdSockets bounds the node's sockets.
	entryCrowdSockets = 1000
	// entryCrowdInput is the length of a long prompt; the API allows no more than 1 MiB.
	entryCrowdInput = 1<<20 - 1
)

// entryHead returns the start of a head of a submission with an authorization.
func entryHead(token string) string {
	out := "POST /v1/requests HTTP/1.1\r\nHost: site.example\r\nContent-Type: application/json\r\n"
	if token != "" {
		out += "Authorization: Bearer " + token + "\r\n"
	}
	return out
}

// entryLengthHead returns a whole head that announces a body of the given length.
func entryLengthHead(length int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", entryHead(callerToken), length)
}

// entryRequest returns a whole submission.
func entryRequest(in *callerapi.Submission) []byte {
	body, err := in.MarshalJSON()
	if err != nil {
		panic(err)
	}
	return append(entryLengthHead(len(body)), body...)
}

// longRequest is a whole request with a long prompt, whose answer is streamed.
var longRequest = func() []byte {
	in := chatSubmission(strings.Repeat("x", entryCrowdInput))
	return entryRequest(&in)
}()

// entryShortBody is a body of the largest legal size without its last byte.
var entryShortBody = bytes.Repeat([]byte(" "), entryCrowdMaxBody-1)

// entryCrowdShape is what every client of a crowd sends to one of the node's listeners.
type entryCrowdShape struct {
	name    string
	clients int
	send    func(*crowdClient)
	// listener returns the address that the clients connect to; nil for that of callers.
	listener func(*node) string
}

var entryCrowdShapes = []entryCrowdShape{
	{name: "OneByteShort", clients: entryCrowdClients, send: func(c *crowdClient) {
		_ = c.write(entryLengthHead(entryCrowdMaxBody)) && c.write(entryShortBody)
	}},
	{name: "ChunksWithoutTheLast", clients: entryCrowdClients, send: func(c *crowdClient) {
		_ = c.write([]byte(entryHead(callerToken)+"Transfer-Encoding: chunked\r\n\r\n")) && c.sendChunks(entryCrowdMaxBody-crowdPiece, crowdPiece)
	}},
	{name: "WholeBodies", clients: entryCrowdClients, send: func(c *crowdClient) {
		_ = c.write(longRequest)
	}},
	{name: "PipelinedWholeBodies", clients: entryCrowdClients, send: func(c *crowdClient) {
		for ok, i := true, 0; ok && i < 4; i++ {
			ok = c.write(longRequest)
		}
	}},
	{name: "BodiesBehindARequestInProgress", clients: 400, send: func(c *crowdClient) {
		in := chatSubmission("a prompt")
		_ = c.write(entryRequest(&in)) && c.write(entryLengthHead(entryCrowdMaxBody)) && c.write(entryShortBody)
	}},
	{name: "LongRequestsOneAfterAnother", clients: 8, send: func(c *crowdClient) {
		reader := bufio.NewReader(c.conn)
		for ok, i := true, 0; ok && i < 40; i++ {
			ok = c.write(longRequest) && skipResponse(reader)
		}
	}},
	{name: "HeadsAtThePeerListener", clients: 1200, listener: func(n *node) string { return n.settings.PeerListen }, send: func(c *crowdClient) {
		_ = c.write([]byte("POST /x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Long: "+strings.Repeat("x", 4000)+"\r\n", 100)))
	}},
}

// TestCrowdOfCallersDoesNotEndTheNode lets a crowd of each shape connect to a node of a site with a low
// memory limit. With the crowd still open, the node lives within its limit and answers an ordinary request.
func TestCrowdOfCallersDoesNotEndTheNode(t *testing.T) {
	for _, shape := range entryCrowdShapes {
		t.Run(shape.name, func(t *testing.T) {
			s, watches := startEntryCrowdSite(t)
			n := s.nodes[0]
			address := n.settings.CallerListen
			if shape.listener != nil {
				address = shape.listener(n)
			}
			dial := func(int) (net.Conn, error) {
				var dialer net.Dialer
				return dialer.DialContext(t.Context(), "tcp4", address)
			}
			releaseCrowd(t, shape.clients, dial, shape.send)
			s.requireOrdinaryCall(t, n)
			for _, watch := range watches {
				watch.requireWithin(t, entryCrowdMemoryMB, entryCrowdSockets)
			}
		})
	}
}

// startEntryCrowdSite starts a site of two nodes with a low memory limit, apart from other tests, and
// watches their memory: the second node is the witness of requests at the first.
func startEntryCrowdSite(t *testing.T) (*site, []*memoryWatch) {
	t.Helper()
	return startEntryCrowdSiteWith(t, siteOptions{})
}

// startEntryCrowdSiteWith is startEntryCrowdSite with further options.
func startEntryCrowdSiteWith(t *testing.T, options siteOptions) (*site, []*memoryWatch) {
	t.Helper()
	options.nodes, options.engines, options.services, options.seed = cmp.Or(options.nodes, 2), 2, 1, 1
	options.memoryMB = entryCrowdMemoryMB
	s := startSiteAlone(t, options)
	var watches []*memoryWatch
	for _, n := range s.nodes {
		watches = append(watches, watchMemory(t, n.process, n.settings.CallerListen, n.settings.OperatorListen, n.settings.PeerListen))
	}
	return s, watches
}

// requireOrdinaryCall requires that the node answers an ordinary request on a new connection.
func (s *site) requireOrdinaryCall(t *testing.T, n *node) {
	t.Helper()
	in := chatSubmission("an ordinary request")
	in.Stream = callerapi.NewOptBool(false)
	body, err := in.MarshalJSON()
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), ordinaryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.settings.CallerListen+"/v1/requests", bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(req)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(text))
	var answer callerapi.Answer
	require.NoError(t, json.Unmarshal(text, &answer))
	require.Equal(t, streamTokens, answer.Tokens)
}
