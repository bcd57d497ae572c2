package server_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

func TestRequestsBeforeConfigurationAreRetryable(t *testing.T) {
	s := newTestSite(t)
	n := s.startNode(1, "a", nil)
	status, _ := s.getInternal(n, platformtest.ReadyPort, "/api/readyz")
	require.Equal(t, http.StatusServiceUnavailable, status)
	got := s.send(n, request{path: "/once/x"})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	s.addReplica("i-1", "plain")
	s.putConfig(1, nil)
	s.waitReady(n)
	status, _ = s.getInternal(n, platformtest.ReadyPort, "/api/readyz")
	require.Equal(t, http.StatusOK, status)
}

func TestRequestIsForwardedWithSystemHeaders(t *testing.T) {
	s := newTestSite(t)
	replica := s.addReplica("i-1", "plain")
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	got := s.send(n, request{path: "/once/x?q=1", body: "hello", deadline: time.Second, header: map[string]string{
		"X-Mangoledge-Tenant": "forged", "X-Mangoledge-Hold": "forged", "Kv-From": "forged", "X-Own": "kept",
	}})
	require.Equal(t, http.StatusOK, got.status)
	require.NoError(t, got.err)
	require.Equal(t, "answer of i-1\n", got.body)
	require.Equal(t, "sig-i-1-"+got.header.Get("X-Mangoledge-Attempt-Id"), got.header.Get("X-Mangoledge-Server-Signature"))
	runs := replica.Runs()
	h := runs[len(runs)-1].Header
	require.Equal(t, "hello", runs[len(runs)-1].Body)
	require.Equal(t, "w1", h.Get("X-Mangoledge-Tenant"))
	require.Equal(t, "i-1", h.Get("X-Mangoledge-Expect-Replica"))
	require.Equal(t, "kept", h.Get("X-Own"))
	for _, name := range []string{"Authorization", "X-Mangoledge-Hold", "Kv-From"} {
		require.Empty(t, h.Get(name), name)
	}
}

func TestDisallowedRequestsAreRefused(t *testing.T) {
	s := newTestSite(t)
	replica := s.addReplica("i-1", "plain")
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	before := len(replica.Runs())
	for name, c := range map[string]struct {
		request request
		status  int
	}{
		"no route":    {request{path: "/nowhere/x"}, http.StatusNotFound},
		"unknown key": {request{path: "/once/x", key: "nobody"}, http.StatusUnauthorized},
		"long body":   {request{path: "/once/x", body: strings.Repeat("x", 70_000)}, http.StatusRequestEntityTooLarge},
		"long header": {request{path: "/once/x", header: map[string]string{"X-Long": strings.Repeat("x", 9000)}}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		require.Equal(t, c.status, s.send(n, c.request).status, name)
	}
	require.Len(t, replica.Runs(), before)
}

// The balancer picks a faulty replica first only by chance, so each case has a single replica.
func TestNonIdempotentRequestStatusWhenUpstreamFails(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour platformtest.Behaviour
		status    int
		runs      int
	}{
		"failure":       {platformtest.Fails, http.StatusInternalServerError, 1},
		"shed":          {platformtest.Rejects, http.StatusServiceUnavailable, 0},
		"response lost": {platformtest.DropsResponse, http.StatusBadGateway, 1},
		"truncated":     {platformtest.Truncates, http.StatusBadGateway, 1},
		"mislabelled":   {platformtest.WrongAttemptID, http.StatusBadGateway, 1},
		"unsigned":      {platformtest.Unsigned, http.StatusBadGateway, 1},
		"silent":        {platformtest.Hangs, http.StatusGatewayTimeout, 1},
		"sent twice":    {platformtest.RespondsTwice, http.StatusOK, 1},
		"throttled":     {platformtest.Throttles, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t)
			replica := s.addReplica("i-1", "plain")
			s.putConfig(1, nil)
			n := s.startNode(1, "a", nil)
			s.waitReady(n)
			before := len(replica.Runs())
			replica.SetBehaviours(c.behaviour, platformtest.Responds)
			got := s.send(n, request{path: "/once/x", body: "b", deadline: time.Second})
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Len(t, replica.Runs()[before:], c.runs)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
			after := s.send(n, request{path: "/once/y", body: "c"})
			require.Equal(t, "answer of i-1\n", after.body, "the next request gets its own response")
		})
	}
}

func TestIdempotentRequestIsRetriedOnce(t *testing.T) {
	for name, behaviour := range map[string]platformtest.Behaviour{
		"failure": platformtest.Fails, "shed": platformtest.Rejects, "response lost": platformtest.DropsResponse,
		"truncated": platformtest.Truncates, "silent": platformtest.Hangs, "mislabelled": platformtest.WrongAttemptID,
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t)
			bad, good := s.addReplica("i-1", "plain"), s.addReplica("i-2", "plain")
			s.putConfig(1, nil)
			n := s.startNode(1, "a", nil)
			s.waitReadyToRetry(n)
			bad.SetBehaviours(behaviour)
			for range 10 {
				got := s.send(n, request{method: http.MethodGet, path: "/again/x"})
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "answer of i-2\n", got.body)
			}
			good.SetBehaviours(behaviour)
			before := len(bad.Runs()) + len(good.Runs())
			got := s.send(n, request{method: http.MethodGet, path: "/again/x", deadline: time.Second})
			require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
			require.LessOrEqual(t, len(bad.Runs())+len(good.Runs())-before, 2)
		})
	}
}

// newEngineSite starts a site with one gateway and an engine whose streams have the given number
// of events with a pause between them.
func newEngineSite(t *testing.T, events int, pause time.Duration) (*testSite, *testNode, *platformtest.Replica) {
	t.Helper()
	s := newTestSite(t)
	s.addReplica("i-p", "plain")
	engine := s.addReplica("i-1", "engine")
	engine.Events, engine.EventPause = events, pause
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	return s, n, engine
}

func TestStreamEventsAreForwardedImmediately(t *testing.T) {
	s, n, engine := newEngineSite(t, 4, 100*time.Millisecond)
	response, err := s.open(n, request{path: "/stream/x", body: "prompt"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	require.True(t, lines.Scan())
	require.Zero(t, engine.Disconnects())
	first := time.Now()
	count := 1
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			count++
		}
	}
	require.NoError(t, lines.Err())
	require.Equal(t, 4, count)
	require.Greater(t, time.Since(first), 150*time.Millisecond, "the first event arrives before the last is produced")
}

func TestBrokenStreamEndsWithError(t *testing.T) {
	s, n, engine := newEngineSite(t, 3, time.Millisecond)
	engine.SetBehaviours(platformtest.Truncates)
	got := s.send(n, request{path: "/stream/x", body: "prompt"})
	require.Equal(t, http.StatusOK, got.status)
	require.Error(t, got.err)
	require.Equal(t, "id: 1\ndata: token 1\n\n", got.body, "no part of the truncated event is forwarded")
	require.Len(t, engine.Runs(), 1)
}

// checkResumeOnSecondUpstream breaks streams off after their first event, checks that they
// continue without a gap on a second upstream with the given behaviour, and returns that upstream.
func checkResumeOnSecondUpstream(t *testing.T, second platformtest.Behaviour) *platformtest.Replica {
	t.Helper()
	s := newTestSite(t)
	s.addReplica("i-p", "plain")
	one, two := s.addReplica("i-1", "engine"), s.addReplica("i-2", "engine")
	s.putConfig(1, nil)
	n := s.startNode(1, "a", nil)
	s.waitReadyToRetry(n)
	one.SetBehaviours(platformtest.Truncates)
	two.SetBehaviours(second)
	for range 4 {
		got := s.send(n, request{path: "/resume/x", body: "prompt"})
		require.NoError(t, got.err)
		require.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n", got.body)
	}
	return two
}

func TestResumableStreamContinuesOnOtherUpstream(t *testing.T) {
	two := checkResumeOnSecondUpstream(t, platformtest.Responds)
	require.NotEmpty(t, two.Runs())
	require.Equal(t, "1", two.Runs()[0].Header.Get("Last-Event-Id"))
}

func TestResumedStreamIgnoresDuplicateResponse(t *testing.T) {
	checkResumeOnSecondUpstream(t, platformtest.RespondsTwice)
}

func TestClientDisconnectCancelsUpstreamRequest(t *testing.T) {
	s, n, engine := newEngineSite(t, 1000, 10*time.Millisecond)
	ctx, leave := context.WithCancel(context.Background())
	response, err := s.open(n, request{path: "/stream/x", body: "prompt", ctx: ctx})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	leave()
	require.Eventually(t, func() bool { return engine.Disconnects() == 1 }, waitTimeout, 10*time.Millisecond)
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	s := newTestSite(t)
	replica := s.addReplica("i-1", "plain")
	s.putConfig(1, func(c map[string]any) {
		c["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 300
	})
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	replica.SetBehaviours(platformtest.Hangs)
	began := time.Now()
	got := s.send(n, request{path: "/once/x", body: "b", deadline: 5 * time.Second})
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(began), 3*time.Second)
	require.Eventually(t, func() bool { return replica.Disconnects() == 1 }, waitTimeout, 10*time.Millisecond)
}

func TestWorkspaceOverQuotaGetsRetryAfter(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("i-1", "plain")
	s.putConfig(1, func(c map[string]any) {
		w := c["tenants"].([]any)[0].(map[string]any)
		w["rate_per_s"], w["burst"] = 10, 10
	})
	n := s.startNode(1, "a", nil)
	s.waitReady(n)
	refused := 0
	for range 20 {
		got := s.send(n, request{path: "/once/x", body: "b"})
		if got.status == http.StatusTooManyRequests {
			refused++
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.GreaterOrEqual(t, refused, 10)
}

func TestSilentUpstreamIsKeptWhileNoAlternativeExists(t *testing.T) {
	s := newTestSite(t)
	engine := s.addReplica("i-1", "engine")
	engine.Events, engine.EventPause = 3, 1100*time.Millisecond // longer than a stream may be silent while other upstreams exist
	s.putConfig(1, func(c map[string]any) {
		for _, route := range c["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = 6000
		}
	})
	n := s.startNode(1, "a", nil)
	require.Eventually(t, func() bool { return s.configVersionOf(n) == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
	got := s.send(n, request{path: "/resume/x", body: "prompt", deadline: 6 * time.Second})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 3, strings.Count(got.body, "data:"))
}
