package server_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/server"
	"mangoledge.example/mangoledge/platform"
	"mangoledge.example/mangoledge/platform/platformtest"
)

// waitTimeout bounds how long a test waits for an expected event; it is far longer than needed.
const waitTimeout = 10 * time.Second

// testSite is a fake platform with gateways in front of it.
type testSite struct {
	t        testing.TB
	store    *platformtest.Store
	cloud    *platformtest.Cloud
	network  string
	client   *http.Client
	attempts atomic.Int64
}

func newTestSite(t testing.TB) *testSite {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 10}
	t.Cleanup(transport.CloseIdleConnections)
	return &testSite{
		t: t, store: platformtest.NewStore(t), cloud: platformtest.NewCloud(t),
		network: platformtest.ClaimNetwork(t),
		client:  &http.Client{Transport: transport},
	}
}

// testNode is one gateway running in the test process.
type testNode struct {
	*server.Gateway
	ip         string
	firstStart bool
	close      context.CancelFunc
}

// ip returns the IP address of gateway n.
func (s *testSite) ip(n int) string { return fmt.Sprintf("%s.%d", s.network, n) }

// startNode starts gateway n in a failure domain.
func (s *testSite) startNode(n int, zone string, change func(*platformtest.NodeSettings)) *testNode {
	s.t.Helper()
	file := platformtest.NodeSettings{
		Name: fmt.Sprintf("node-%d", n), Zone: zone, IP: s.ip(n), FirstStart: true, GraceS: 6,
		Store: s.store.Address(), Cloud: s.cloud.Address(),
	}
	if change != nil {
		change(&file)
	}
	settings, err := platform.ParseSettings(file.File())
	require.NoError(s.t, err)
	out := io.Discard
	if testing.Verbose() {
		out = os.Stderr
	}
	gateway, err := server.New(settings, slog.New(slog.NewTextHandler(out, nil)))
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(s.t, gateway.Start(ctx))
	node := &testNode{Gateway: gateway, ip: file.IP, firstStart: file.FirstStart, close: func() { cancel(); gateway.Close() }}
	s.t.Cleanup(node.close)
	return node
}

// addReplica starts a replica and registers it in the store.
func (s *testSite) addReplica(id, service string) *platformtest.Replica {
	r := platformtest.NewReplica(s.t, id)
	s.store.Put("servers", id, r.Entry(service, nil))
	return r
}

// putConfig stores the default configuration with the given version, modified by change.
func (s *testSite) putConfig(version int, change func(map[string]any)) {
	config := platformtest.DefaultConfig(version)
	if change != nil {
		change(config)
	}
	s.store.Put("config", "main", config)
}

// request is a client request.
type request struct {
	method, path, body string
	key                string
	deadline           time.Duration
	header             map[string]string
	ctx                context.Context
}

// clientResponse is what a client received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	// err is why the body is incomplete, or nil.
	err error
}

// send sends a request to a node and reads the whole response.
func (s *testSite) send(n *testNode, r request) clientResponse {
	s.t.Helper()
	response, err := s.open(n, r)
	if err != nil {
		return clientResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// countedResponse is what a client received, with only the length of the body.
type countedResponse struct {
	status int
	bytes  int64
	err    error
}

// sendCounting sends a request and counts the body's bytes without keeping them.
func (s *testSite) sendCounting(n *testNode, r request) countedResponse {
	s.t.Helper()
	response, err := s.open(n, r)
	if err != nil {
		return countedResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	size, err := io.Copy(io.Discard, response.Body)
	return countedResponse{response.StatusCode, size, err}
}

// open sends a request and returns once the response headers arrived.
func (s *testSite) open(n *testNode, r request) (*http.Response, error) {
	s.t.Helper()
	if r.ctx == nil {
		r.ctx = context.Background()
	}
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.deadline == 0 {
		r.deadline = 5 * time.Second
	}
	address := net.JoinHostPort(n.ip, fmt.Sprint(platformtest.FrontPort))
	req, err := http.NewRequestWithContext(r.ctx, r.method, "http://"+address+r.path, strings.NewReader(r.body))
	require.NoError(s.t, err)
	req.Host = "site.example"
	req.Header.Set("X-Mangoledge-Attempt-Id", fmt.Sprintf("attempt-%d", s.attempts.Add(1)))
	req.Header.Set("X-Mangoledge-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.key == "" {
		r.key = platformtest.WorkspaceKey
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	if strings.HasPrefix(r.path, "/stream/") || strings.HasPrefix(r.path, "/resume/") {
		req.Header.Set("X-Mangoledge-Model", "m")
		req.Header.Set("X-Mangoledge-Token-Usage", "100,20")
		req.Header.Set("X-Mangoledge-Prefix-Hash", "aa:50,bb:30,cc:20")
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	return s.client.Do(req)
}

// waitReady waits until each node answers a request on the open route and, for a node that starts
// for the first time, until workspaces may spend quota.
func (s *testSite) waitReady(nodes ...*testNode) {
	s.t.Helper()
	for _, n := range nodes {
		require.Eventually(s.t, func() bool {
			return s.send(n, request{method: http.MethodGet, path: "/open/ready"}).status == http.StatusOK &&
				(!n.firstStart || s.stateOf(n).QuotaBegun)
		}, waitTimeout, 20*time.Millisecond)
	}
}

// waitReadyToRetry waits until a node serves and knows how many nodes share the retry reserve.
// Before that it allows no retries.
func (s *testSite) waitReadyToRetry(n *testNode) {
	s.t.Helper()
	s.waitReady(n)
	require.Eventually(s.t, func() bool { return s.stateOf(n).NodesSharingRepeats > 0 }, waitTimeout, 20*time.Millisecond)
}

// getInternal sends a GET request to a listener that does not serve client requests.
func (s *testSite) getInternal(n *testNode, port int, target string) (status int, body string) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s:%d%s", n.ip, port, target), nil)
	require.NoError(s.t, err)
	response, err := s.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return response.StatusCode, string(data)
}
