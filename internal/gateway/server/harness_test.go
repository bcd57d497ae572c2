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

// patience is how long a test waits for what must come; far more than it takes.
const patience = 10 * time.Second

// testSite is a platform of stand-ins with gateways before it.
type testSite struct {
	t        testing.TB
	store    *platformtest.Store
	cloud    *platformtest.Cloud
	net      string
	client   *http.Client
	attempts atomic.Int64
}

func newTestSite(t testing.TB) *testSite {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 10}
	t.Cleanup(transport.CloseIdleConnections)
	return &testSite{
		t: t, store: platformtest.NewStore(t), cloud: platformtest.NewCloud(t),
		net:    platformtest.ClaimNetwork(t),
		client: &http.Client{Transport: transport},
	}
}

// testNode is one gateway in this process.
type testNode struct {
	*server.Gateway
	ip    string
	first bool
	close context.CancelFunc
}

func (s *testSite) ip(n int) string { return fmt.Sprintf("%s.%d", s.net, n) }

// start starts gateway n in a failure domain.
func (s *testSite) start(n int, zone string, change func(*platformtest.NodeSettings)) *testNode {
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
	node := &testNode{Gateway: gateway, ip: file.IP, first: file.FirstStart, close: func() { cancel(); gateway.Close() }}
	s.t.Cleanup(node.close)
	return node
}

// replica starts a replica and registers it.
func (s *testSite) replica(id, service string) *platformtest.Replica {
	r := platformtest.NewReplica(s.t, id)
	s.store.Put("servers", id, r.Entry(service, nil))
	return r
}

// configure writes the default configuration, changed.
func (s *testSite) configure(version int, change func(map[string]any)) {
	config := platformtest.DefaultConfig(version)
	if change != nil {
		change(config)
	}
	s.store.Put("config", "main", config)
}

// request is a request of a client.
type request struct {
	method, path, body string
	key                string
	deadline           time.Duration
	header             map[string]string
	ctx                context.Context
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is why the body is not whole, or nil.
	err error
}

// send sends a request to a node and reads the answer.
func (s *testSite) send(n *testNode, r request) answer {
	s.t.Helper()
	response, err := s.open(n, r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// counted is what a client got, with the length of the body alone.
type counted struct {
	status int
	bytes  int64
	err    error
}

// sendCounting sends a request and counts the answer without keeping it.
func (s *testSite) sendCounting(n *testNode, r request) counted {
	s.t.Helper()
	response, err := s.open(n, r)
	if err != nil {
		return counted{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	size, err := io.Copy(io.Discard, response.Body)
	return counted{response.StatusCode, size, err}
}

// open sends a request and returns once the head of the answer is there.
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
		r.key = platformtest.Key
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

// ready waits until a node answers a request of the open route and, when it starts for the
// first time, until workspaces may spend.
func (s *testSite) ready(nodes ...*testNode) {
	s.t.Helper()
	for _, n := range nodes {
		require.Eventually(s.t, func() bool {
			return s.send(n, request{method: http.MethodGet, path: "/open/ready"}).status == http.StatusOK &&
				(!n.first || s.stateOf(n).QuotaBegun)
		}, patience, 20*time.Millisecond)
	}
}

// readyToRepeat waits until a node serves and knows how many nodes share the reserve of
// repeats: before that it grants none.
func (s *testSite) readyToRepeat(n *testNode) {
	s.t.Helper()
	s.ready(n)
	require.Eventually(s.t, func() bool { return s.stateOf(n).NodesSharingRepeats > 0 }, patience, 20*time.Millisecond)
}

// get calls one of the listeners that are not for clients' requests.
func (s *testSite) get(n *testNode, port int, target string) (status int, body string) {
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
