package faulttest

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// crowdMemoryMB is the memory limit of the node, and the bound of its resident memory.
	crowdMemoryMB = 64
	// crowdMaxBody is the largest legal body, in bytes.
	crowdMaxBody = 1 << 20
	// crowdClients is the number of clients that don't behave.
	crowdClients = 80
	// crowdKeys is the number of keys of the crowds that have many.
	crowdKeys = 20
	// reservedDescriptors are those of a node's descriptors that are not for sockets.
	reservedDescriptors = 200
	// crowdDescriptors is the node's limit of descriptors unless a crowd has its own.
	crowdDescriptors = 1000
)

// head returns the start of a request's head, with an attempt ID and a key unless it is empty.
func (c *crowdClient) head(path, key string) string {
	out := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: site.example\r\nX-Mangoledge-Attempt-Id: crowd-%d\r\nX-Mangoledge-Deadline-Ms: 30000\r\n", path, attemptCounter.Add(1))
	if key != "" {
		out += "Authorization: Bearer " + key + "\r\n"
	}
	return out
}

// lengthHead returns a whole head that announces a body of the given length.
func (c *crowdClient) lengthHead(key string, length int64, extra string) []byte {
	return []byte(c.head("/again/", key) + extra + "Content-Length: " + strconv.FormatInt(length, 10) + "\r\n\r\n")
}

// chunkedHead returns a whole head of a chunked request.
func (c *crowdClient) chunkedHead(extra string) []byte {
	return []byte(c.head("/again/", unlimitedKey) + extra + "Transfer-Encoding: chunked\r\n\r\n")
}

// streamHead returns a whole request for a stream.
func (c *crowdClient) streamHead() []byte {
	return []byte(c.head("/stream/", unlimitedKey) + "X-Mangoledge-Model: m\r\nX-Mangoledge-Token-Usage: 10,10\r\n" +
		"X-Mangoledge-Prefix-Hash: aa:10\r\nContent-Length: 0\r\n\r\n")
}

// sendPipelinedBodies sends requests with whole bodies, without waiting for an answer.
func (c *crowdClient) sendPipelinedBodies() {
	const requests = 8
	for ok, i := true, 0; ok && i < requests; i++ {
		ok = c.write(c.lengthHead(unlimitedKey, crowdMaxBody, "")) && c.write(crowdBody)
	}
}

// crowdEvents is the number of events of a stream.
const crowdEvents = 5000

// firstCrowdHost is the host number of the first address of a crowd that has many.
const firstCrowdHost = 50

// crowdPiece is the size of a piece or a large chunk, in bytes.
const crowdPiece = 16 << 10

// crowdBody is the largest legal body, and shortBody the same without its last byte.
var (
	crowdBody = bytes.Repeat([]byte("x"), crowdMaxBody)
	shortBody = crowdBody[1:]
)

// crowdShape is what every client of a crowd sends.
type crowdShape struct {
	name string
	send func(*crowdClient)
	// maxDescriptors is the node's limit of descriptors; 0 means the default.
	maxDescriptors int
	// clients is the number of clients; 0 means crowdClients.
	clients int
	// ports are those that the clients connect to in turn; empty for that of requests.
	ports []int
	// addresses is the number of addresses from which the clients connect; 0 means 127.0.0.1 only.
	addresses int
	// events is the number of events of a stream; 0 means crowdEvents. answerBytes is the size of an answer
	// that is no stream; 0 means that of platformtest.
	events, answerBytes int
}

func keyOf(number int) string { return fmt.Sprintf("key-of-crowd-%d", number%crowdKeys) }

var crowdShapes = []crowdShape{
	{name: "LargeBodiesWhole", send: func(c *crowdClient) {
		_ = c.write(c.lengthHead(unlimitedKey, crowdMaxBody, "")) && c.write(crowdBody)
	}},
	{name: "LargeBodiesOneByteShort", send: func(c *crowdClient) {
		_ = c.write(c.lengthHead(unlimitedKey, crowdMaxBody, "")) && c.write(shortBody)
	}},
	{name: "LargeBodiesInPiecesOneByteShort", send: func(c *crowdClient) {
		ok := c.write(c.lengthHead(unlimitedKey, crowdMaxBody, ""))
		for rest := shortBody; ok && len(rest) > 0; time.Sleep(time.Millisecond) {
			n := min(crowdPiece, len(rest))
			ok = c.write(rest[:n])
			rest = rest[n:]
		}
	}},
	{name: "OneLargeChunkOneByteShort", send: func(c *crowdClient) {
		_ = c.write(c.chunkedHead("")) && c.write(fmt.Appendf(nil, "%x\r\n", crowdMaxBody)) && c.write(shortBody)
	}},
	{name: "LargeChunksWithoutTheLast", send: func(c *crowdClient) {
		_ = c.write(c.chunkedHead("")) && c.sendChunks(crowdMaxBody-crowdPiece, crowdPiece)
	}},
	{name: "ChunksOfOneByteWithoutTheLast", send: func(c *crowdClient) {
		_ = c.write(c.chunkedHead("")) && c.sendChunks(crowdMaxBody/2, 1)
	}},
	{name: "ChunksAndTrailersWithoutEnd", send: func(c *crowdClient) {
		_ = c.write(c.chunkedHead("Trailer: X-Sum\r\n")) && c.sendChunks(crowdMaxBody-crowdPiece, crowdPiece) &&
			c.write([]byte("0\r\nX-Sum: "+strings.Repeat("1", 2048)))
	}},
	{name: "FarOverTheLimitAnnounced", send: func(c *crowdClient) {
		_ = c.write(c.lengthHead(unlimitedKey, 1<<30, "")) && c.write(crowdBody) && c.write(crowdBody)
	}},
	{name: "FarOverTheLimitInChunks", send: func(c *crowdClient) {
		_ = c.write(c.chunkedHead("")) && c.sendChunks(16*crowdMaxBody, crowdPiece)
	}},
	{name: "NoKey", send: func(c *crowdClient) {
		_ = c.write(c.lengthHead("", crowdMaxBody, "")) && c.write(shortBody)
	}},
	{name: "WrongKey", send: func(c *crowdClient) {
		_ = c.write(c.lengthHead("a-wrong-key", crowdMaxBody, "")) && c.write(shortBody)
	}},
	{name: "ManyKeysOneByteShort", send: func(c *crowdClient) {
		_ = c.write(c.lengthHead(keyOf(c.number), crowdMaxBody, "")) && c.write(shortBody)
	}},
	{name: "HeadsThatNeverEnd", send: func(c *crowdClient) {
		_ = c.write([]byte(c.head("/again/", unlimitedKey) + "X-Long: " + strings.Repeat("x", 7<<10)))
	}},
	{name: "EndlessHeads", clients: 300, send: func(c *crowdClient) {
		ok := c.write([]byte(c.head("/again/", unlimitedKey)))
		for i := 0; ok && i < 1<<10; i++ {
			ok = c.write(fmt.Appendf(nil, "X-Long-%d: %s\r\n", i, strings.Repeat("x", 100)))
		}
	}},
	{name: "PipelinedHeads", send: func(c *crowdClient) {
		var all []byte
		for range 200 {
			all = append(all, c.lengthHead(unlimitedKey, 0, "")...)
		}
		_ = c.write(all)
	}},
	{name: "Expect100Continue", send: func(c *crowdClient) {
		_ = c.write(c.lengthHead(unlimitedKey, crowdMaxBody, "Expect: 100-continue\r\n")) && c.write(shortBody)
	}},
	{name: "ClientsThatStopReading", send: func(c *crowdClient) {
		_ = c.write(c.streamHead())
	}},
	{name: "BodiesBehindARequestInProgress", clients: 700, send: func(c *crowdClient) {
		_ = c.write(c.streamHead()) && c.write(c.lengthHead(unlimitedKey, crowdMaxBody, "")) && c.write(crowdBody)
	}},
	{name: "PipelinedWholeBodies", clients: 300, send: (*crowdClient).sendPipelinedBodies},
	{name: "ManyAddressesAndKeysOneByteShort", clients: 300, addresses: 60, send: func(c *crowdClient) {
		_ = c.write(c.lengthHead(keyOf(c.number), crowdMaxBody, "")) && c.write(shortBody)
	}},
	{name: "SlowReadersOfLargeAnswers", clients: 300, answerBytes: 4 << 20, send: func(c *crowdClient) {
		_ = c.write(c.lengthHead(unlimitedKey, 0, ""))
	}},
	{name: "SlowReadersOfLongStreams", clients: 300, events: 200_000, send: func(c *crowdClient) {
		_ = c.write(c.streamHead())
	}},
	{name: "Mixed", clients: 500, addresses: 10, answerBytes: 1 << 20, send: func(c *crowdClient) {
		switch c.number % 7 {
		case 0:
			_ = c.write(c.lengthHead(unlimitedKey, crowdMaxBody, "")) && c.write(shortBody)
		case 1:
			_ = c.write(c.chunkedHead("")) && c.sendChunks(crowdMaxBody-crowdPiece, crowdPiece)
		case 2:
			_ = c.write(c.streamHead()) && c.write(c.lengthHead(keyOf(c.number), crowdMaxBody, "")) && c.write(crowdBody)
		case 3:
			c.sendPipelinedBodies()
		case 4:
			_ = c.write([]byte(c.head("/again/", unlimitedKey) + "X-Long: " + strings.Repeat("x", 7<<10)))
		case 5:
			_ = c.write(c.lengthHead("", crowdMaxBody, "")) && c.write(crowdBody)
		case 6:
			_ = c.write(c.lengthHead(keyOf(c.number), 0, ""))
		}
	}},
	{name: "SilentConnections", clients: 300, maxDescriptors: 400, send: func(*crowdClient) {}},
	{name: "OpenHeadsOnManyConnections", clients: 300, maxDescriptors: 400, send: func(c *crowdClient) {
		_ = c.write([]byte(c.head("/again/", unlimitedKey)))
	}},
	{
		name: "OpenHeadsAtTheOtherListeners", clients: 600, maxDescriptors: 400,
		ports: []int{platformtest.ReadyPort, platformtest.ControlPort, platformtest.DirectoryPort, platformtest.MetricsPort},
		send: func(c *crowdClient) {
			_ = c.write([]byte(c.head("/again/", "") + "X-Long: " + strings.Repeat("x", 12<<10)))
		},
	},
}

// TestCrowdDoesNotEndTheNode lets a crowd of each shape connect to a node with low limits. With the
// crowd still open, the node lives within its limits and answers ordinary requests.
func TestCrowdDoesNotEndTheNode(t *testing.T) {
	for _, shape := range crowdShapes {
		t.Run(shape.name, func(t *testing.T) {
			s := startCrowdSite(t, &shape)
			s.releaseCrowd(t, &shape)
			s.requireSound(t, &shape)
		})
	}
}

// requireSound requires that the node lives, answers on all listeners and has stayed within its limits.
func (s *gatewaySite) requireSound(t *testing.T, shape *crowdShape) {
	t.Helper()
	n := s.nodes[0]
	require.False(t, n.process.hasEnded(), "the node ended")
	s.requireOrdinaryAnswers(t, n)
	require.Equal(t, http.StatusOK, s.statusWithin(ordinaryTimeout, n, platformtest.ReadyPort, "/api/readyz"))
	require.NotZero(t, s.configVersionWithin(ordinaryTimeout, n), "the control listener does not answer")
	s.memory.requireWithin(t, crowdMemoryMB, cmp.Or(shape.maxDescriptors, crowdDescriptors)-reservedDescriptors)
}

// startCrowdSite starts one node with low limits and a configuration with many keys, whose routes
// don't time out during the test.
func startCrowdSite(t *testing.T, shape *crowdShape) *gatewaySite {
	t.Helper()
	s := startGatewaySite(t, 0, 2)
	s.store.Put("config", "main", crowdConfig(100))
	for _, slot := range s.slots {
		replica, _ := slot.newest()
		replica.Events, replica.EventPause = cmp.Or(shape.events, crowdEvents), 0
		replica.AnswerBytes = shape.answerBytes
	}
	s.launchCrowdNode(t, shape)
	s.waitUntilServing()
	return s
}

// launchCrowdNode starts a process of the site's only node, with low limits, and watches its memory.
func (s *gatewaySite) launchCrowdNode(t *testing.T, shape *crowdShape) {
	t.Helper()
	n := s.newNode(1)
	n.settings.MemoryMB, n.settings.MaxDescriptors = crowdMemoryMB, shape.maxDescriptors
	s.nodes = append(s.nodes, n)
	s.launch(n, true)
	var addresses []string
	for _, port := range []int{platformtest.FrontPort, platformtest.ReadyPort, platformtest.ControlPort, platformtest.DirectoryPort, platformtest.MetricsPort} {
		addresses = append(addresses, n.address(port))
	}
	s.memory = watchMemory(t, n.process, addresses...)
}

// crowdConfig returns a configuration with many keys, whose routes don't time out during the test.
func crowdConfig(version int) map[string]any {
	config := platformtest.DefaultConfig(version)
	tenants := config["tenants"].([]any)
	tenants = append(tenants, map[string]any{"name": unlimitedWorkspace, "api_keys": []string{unlimitedKey}, "priority": 1})
	for i := range crowdKeys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("crowd-%d", i), "api_keys": []string{keyOf(i)}, "priority": 1})
	}
	config["tenants"] = tenants
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = 30_000
		route.(map[string]any)["target_latency_ms"] = 2_000
	}
	config["limits"].(map[string]any)["max_body_bytes"] = crowdMaxBody
	return config
}

// releaseCrowd lets the clients of a crowd connect to the node, as the function releaseCrowd does.
func (s *gatewaySite) releaseCrowd(t *testing.T, shape *crowdShape) {
	t.Helper()
	releaseCrowd(t, cmp.Or(shape.clients, crowdClients), func(i int) (net.Conn, error) {
		port := platformtest.FrontPort
		if len(shape.ports) > 0 {
			port = shape.ports[i%len(shape.ports)]
		}
		var dialer net.Dialer
		if shape.addresses > 0 {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d", s.network, firstCrowdHost+i%shape.addresses))}
		}
		return dialer.DialContext(t.Context(), "tcp4", s.nodes[0].address(port))
	}, shape.send)
}

// requireOrdinaryAnswers requires that the node answers ordinary requests: without a key, with the
// crowd's key and with another, from the crowd's address and from another.
func (s *gatewaySite) requireOrdinaryAnswers(t *testing.T, n *gatewayNode) {
	t.Helper()
	for _, address := range []string{s.network + ".200", "127.0.0.1"} {
		for _, key := range []string{platformtest.WorkspaceKey, unlimitedKey, ""} {
			status, err := s.askAsOrdinaryCaller(n, address, key)
			require.NoError(t, err, "from %s with key %q", address, key)
			require.Equal(t, http.StatusOK, status, "from %s with key %q", address, key)
		}
	}
}

// ordinaryTimeout bounds the wait for an answer to an ordinary request, far beyond what it takes.
const ordinaryTimeout = 30 * time.Second

// askAsOrdinaryCaller sends a small request on a new connection and returns the status.
func (s *gatewaySite) askAsOrdinaryCaller(n *gatewayNode, address, key string) (int, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	client := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	path := "/again/"
	if key == "" {
		path = "/open/"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(platformtest.FrontPort)+path+"x", strings.NewReader("an ordinary request"))
	if err != nil {
		return 0, err
	}
	req.Host = "site.example"
	req.Header.Set("X-Mangoledge-Attempt-Id", fmt.Sprintf("ordinary-%d", attemptCounter.Add(1)))
	req.Header.Set("X-Mangoledge-Deadline-Ms", strconv.FormatInt(ordinaryTimeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
