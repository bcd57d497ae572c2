package dispatch_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

func discard() *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// idOf returns the ID of the only request of n.
func idOf(t *testing.T, n *fakeNode) ident.RequestID {
	t.Helper()
	records := n.dispatcher.Records()
	require.Len(t, records, 1)
	return records[0].Spec.ID
}

// command sends a fault command to a stand-in.
func command(t *testing.T, base, body string) {
	t.Helper()
	resp, err := http.Post(base+"/faults", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// addService starts a plain service that counts its calls and runs behave for each.
func (s *fakeSite) addService(behave func(w http.ResponseWriter, r *http.Request)) *atomic.Int64 {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		behave(w, r)
	}))
	s.t.Cleanup(func() { kill(server); server.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, fleet.Upstream{ID: "docks", URL: server.URL, Service: "docks", State: fleet.StateReady})
	return &calls
}

func onceSpec(home, wit *fakeNode) request.Spec {
	s := spec(home, wit, 1)
	s.Model, s.Service, s.Idempotent, s.Stream = "", "docks", false, false
	s.Input = "hold dock 4"
	return s
}

func TestResendsToTwoNodesRunOnce(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, "held")
	})
	s := onceSpec(home, wit)
	results := make(chan received, 6)
	for i := range 6 {
		go func() {
			var got received
			node := []*fakeNode{home, other, wit}[i%3]
			a, err := node.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
			if err == nil {
				got.follow(t, a, 0)
			}
			results <- got
		}()
	}
	for range 6 {
		got := <-results
		require.Equal(t, dispatch.EventDone, got.last.Kind)
		require.Equal(t, "held", got.last.Output)
	}
	require.EqualValues(t, 1, calls.Load())
}

func TestHomeLostAfterItsGrantMeansMayHaveRun(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	release := make(chan struct{})
	defer close(release)
	calls := site.addService(func(http.ResponseWriter, *http.Request) { <-release })
	s := onceSpec(home, wit)
	_, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return calls.Load() == 1 }, 10*time.Second, time.Millisecond)
	site.setState(home.self.Incarnation, membership.StateDead)
	_, err = other.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	refusal := verdict.From(err)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
	require.Equal(t, verdict.CodeGrantTaken, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	require.EqualValues(t, 1, calls.Load())
}

func TestRecordedResultIsGivenByAnyNode(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	s := onceSpec(home, wit)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var first, second received
	first.follow(t, a, 0)
	require.Equal(t, "held", first.last.Output)
	site.setState(home.self.Incarnation, membership.StateDead)
	b, err := other.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	second.follow(t, b, 0)
	require.Equal(t, "held", second.last.Output)
	require.EqualValues(t, 1, calls.Load())
}

func TestWitnessLostRefusesWithoutRunning(t *testing.T) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	site.setState(wit.self.Incarnation, membership.StateDead)
	_, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: onceSpec(home, wit)})
	refusal := verdict.From(err)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
	require.Equal(t, verdict.CodeWitnessLost, refusal.Code)
	require.Zero(t, calls.Load())
}

func TestNotRunIsSaidOnlyOfWhatCanNotRunLater(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	s := onceSpec(home, wit)
	s.Deadline = time.Now().Add(100 * time.Millisecond)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 0)
	require.Equal(t, verdict.NotRun, got.last.Failure.Verdict)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	site.setState(home.self.Incarnation, membership.StateDead)
	s.Deadline = time.Now().Add(5 * time.Second)
	if b, err := other.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s}); err == nil {
		got.follow(t, b, 0)
	}
	require.Zero(t, calls.Load(), "a request that was said not to have run was run")
}

func TestCancelEndsARequestFromAnyNode(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	site.addEngine("e1", 20*time.Millisecond)
	s := spec(home, wit, 1000)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 2)
	record, err := other.dispatcher.Cancel(t.Context(), s.ID, "w")
	require.NoError(t, err)
	require.Equal(t, request.PhaseCancelled, record.Phase)
	var after received
	b, err := home.dispatcher.Resume(t.Context(), dispatch.Resumption{ID: s.ID, Workspace: "w"})
	require.NoError(t, err)
	after.follow(t, b, 0)
	require.Equal(t, dispatch.EventError, after.last.Kind)
	require.Equal(t, verdict.CodeCancelled, after.last.Failure.Code)
}
