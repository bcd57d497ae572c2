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

func TestNothingIsRefusedForGoodBeforeAConfigurationIsKnown(t *testing.T) {
	s := newTestSite(t)
	n := s.start(1, "a", nil)
	status, _ := s.get(n, platformtest.ReadyPort, "/api/readyz")
	require.Equal(t, http.StatusServiceUnavailable, status)
	got := s.send(n, request{path: "/once/x"})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	s.replica("i-1", "plain")
	s.configure(1, nil)
	s.ready(n)
	status, _ = s.get(n, platformtest.ReadyPort, "/api/readyz")
	require.Equal(t, http.StatusOK, status)
}

func TestARequestReachesItsServiceAsTheClientSentItWithWhatTheSystemSets(t *testing.T) {
	s := newTestSite(t)
	replica := s.replica("i-1", "plain")
	s.configure(1, nil)
	n := s.start(1, "a", nil)
	s.ready(n)
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

func TestRequestsThatNoConfigurationAllowsAreRefused(t *testing.T) {
	s := newTestSite(t)
	replica := s.replica("i-1", "plain")
	s.configure(1, nil)
	n := s.start(1, "a", nil)
	s.ready(n)
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

// faulty replicas come first by the balancer only by chance, so each case has one replica.
func TestWhatARequestThatMayNotBeRepeatedGetsWhenItsUpstreamFails(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour platformtest.Behaviour
		status    int
		runs      int
	}{
		"failure":        {platformtest.Fails, http.StatusInternalServerError, 1},
		"shed":           {platformtest.Sheds, http.StatusServiceUnavailable, 0},
		"answer lost":    {platformtest.LosesAnswer, http.StatusBadGateway, 1},
		"truncated":      {platformtest.Truncates, http.StatusBadGateway, 1},
		"mislabelled":    {platformtest.Mislabels, http.StatusBadGateway, 1},
		"unsigned":       {platformtest.Unsigned, http.StatusBadGateway, 1},
		"silent":         {platformtest.Hangs, http.StatusGatewayTimeout, 1},
		"answered twice": {platformtest.AnswersTwice, http.StatusOK, 1},
		"throttled":      {platformtest.Throttles, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t)
			replica := s.replica("i-1", "plain")
			s.configure(1, nil)
			n := s.start(1, "a", nil)
			s.ready(n)
			before := len(replica.Runs())
			replica.Behave(c.behaviour, platformtest.Answers)
			got := s.send(n, request{path: "/once/x", body: "b", deadline: time.Second})
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.Len(t, replica.Runs()[before:], c.runs)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
			after := s.send(n, request{path: "/once/y", body: "c"})
			require.Equal(t, "answer of i-1\n", after.body, "the next request gets its own answer")
		})
	}
}

func TestAnIdempotentRequestGoesToASecondUpstreamAndNoFurther(t *testing.T) {
	for name, behaviour := range map[string]platformtest.Behaviour{
		"failure": platformtest.Fails, "shed": platformtest.Sheds, "answer lost": platformtest.LosesAnswer,
		"truncated": platformtest.Truncates, "silent": platformtest.Hangs, "mislabelled": platformtest.Mislabels,
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t)
			bad, good := s.replica("i-1", "plain"), s.replica("i-2", "plain")
			s.configure(1, nil)
			n := s.start(1, "a", nil)
			s.readyToRepeat(n)
			bad.Behave(behaviour)
			for range 10 {
				got := s.send(n, request{method: http.MethodGet, path: "/again/x"})
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "answer of i-2\n", got.body)
			}
			good.Behave(behaviour)
			before := len(bad.Runs()) + len(good.Runs())
			got := s.send(n, request{method: http.MethodGet, path: "/again/x", deadline: time.Second})
			require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
			require.LessOrEqual(t, len(bad.Runs())+len(good.Runs())-before, 2)
		})
	}
}

// newEngineSite is a site with one gateway and an engine whose streams have a number
// of events with a pause between them.
func newEngineSite(t *testing.T, events int, pause time.Duration) (*testSite, *testNode, *platformtest.Replica) {
	t.Helper()
	s := newTestSite(t)
	s.replica("i-p", "plain")
	engine := s.replica("i-1", "engine")
	engine.Events, engine.EventPause = events, pause
	s.configure(1, nil)
	n := s.start(1, "a", nil)
	s.ready(n)
	return s, n, engine
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	s, n, engine := newEngineSite(t, 4, 100*time.Millisecond)
	response, err := s.open(n, request{path: "/stream/x", body: "prompt"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	require.True(t, lines.Scan())
	require.Zero(t, engine.Left())
	first := time.Now()
	count := 1
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			count++
		}
	}
	require.NoError(t, lines.Err())
	require.Equal(t, 4, count)
	require.Greater(t, time.Since(first), 150*time.Millisecond, "the first event came before the last was made")
}

func TestABrokenStreamNeverLooksComplete(t *testing.T) {
	s, n, engine := newEngineSite(t, 3, time.Millisecond)
	engine.Behave(platformtest.Truncates)
	got := s.send(n, request{path: "/stream/x", body: "prompt"})
	require.Equal(t, http.StatusOK, got.status)
	require.Error(t, got.err)
	require.Equal(t, "id: 1\ndata: token 1\n\n", got.body, "no part of the broken event is passed on")
	require.Len(t, engine.Runs(), 1)
}

// resumeElsewhere has streams broken off behind their first event, checks that they go on
// at an upstream of a behaviour without a gap, and returns that upstream.
func resumeElsewhere(t *testing.T, second platformtest.Behaviour) *platformtest.Replica {
	t.Helper()
	s := newTestSite(t)
	s.replica("i-p", "plain")
	one, two := s.replica("i-1", "engine"), s.replica("i-2", "engine")
	s.configure(1, nil)
	n := s.start(1, "a", nil)
	s.readyToRepeat(n)
	one.Behave(platformtest.Truncates)
	two.Behave(second)
	for range 4 {
		got := s.send(n, request{path: "/resume/x", body: "prompt"})
		require.NoError(t, got.err)
		require.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n", got.body)
	}
	return two
}

func TestAStreamThatMayBeResumedGoesOnElsewhereWithoutAGap(t *testing.T) {
	two := resumeElsewhere(t, platformtest.Answers)
	require.NotEmpty(t, two.Runs())
	require.Equal(t, "1", two.Runs()[0].Header.Get("Last-Event-Id"))
}

func TestAStreamGoesOnWithoutAGapAtAnUpstreamThatAnswersTwice(t *testing.T) {
	resumeElsewhere(t, platformtest.AnswersTwice)
}

func TestAClientThatLeavesFreesItsUpstream(t *testing.T) {
	s, n, engine := newEngineSite(t, 1000, 10*time.Millisecond)
	ctx, leave := context.WithCancel(context.Background())
	response, err := s.open(n, request{path: "/stream/x", body: "prompt", ctx: ctx})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	leave()
	require.Eventually(t, func() bool { return engine.Left() == 1 }, patience, 10*time.Millisecond)
}

func TestTheRoutesTimeoutIsAnsweredAtOnce(t *testing.T) {
	s := newTestSite(t)
	replica := s.replica("i-1", "plain")
	s.configure(1, func(c map[string]any) {
		c["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 300
	})
	n := s.start(1, "a", nil)
	s.ready(n)
	replica.Behave(platformtest.Hangs)
	began := time.Now()
	got := s.send(n, request{path: "/once/x", body: "b", deadline: 5 * time.Second})
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(began), 3*time.Second)
	require.Eventually(t, func() bool { return replica.Left() == 1 }, patience, 10*time.Millisecond)
}

func TestAWorkspaceAboveItsQuotaIsToldWhenToComeBack(t *testing.T) {
	s := newTestSite(t)
	s.replica("i-1", "plain")
	s.configure(1, func(c map[string]any) {
		w := c["tenants"].([]any)[0].(map[string]any)
		w["rate_per_s"], w["burst"] = 10, 10
	})
	n := s.start(1, "a", nil)
	s.ready(n)
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

func TestAnUpstreamThatIsSilentIsNotGivenUpWhileNoOtherCanTakeTheRequest(t *testing.T) {
	s := newTestSite(t)
	engine := s.replica("i-1", "engine")
	engine.Events, engine.EventPause = 3, 1100*time.Millisecond // longer than a stream may be silent beside others
	s.configure(1, func(c map[string]any) {
		for _, route := range c["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = 6000
		}
	})
	n := s.start(1, "a", nil)
	require.Eventually(t, func() bool { return s.versionAt(n) == 1 && s.stateOf(n).QuotaBegun }, patience, 20*time.Millisecond)
	got := s.send(n, request{path: "/resume/x", body: "prompt", deadline: 6 * time.Second})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 3, strings.Count(got.body, "data:"))
}
