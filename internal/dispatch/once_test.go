package dispatch_test

import (
	"io"
	"log/slog"
	"net"
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

// discard returns a logger without output.
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

// injectFault sends body, a fault in JSON, to the stand-in engine at base.
func injectFault(t *testing.T, base, body string) {
	t.Helper()
	resp, err := http.Post(base+"/faults", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// addService starts a plain service that counts its calls and calls behave for each.
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

// nonIdempotentSpec returns a non-idempotent call of the plain service.
func nonIdempotentSpec(home, wit *fakeNode) request.Spec {
	s := spec(home, wit, 1)
	s.Model, s.Service, s.Idempotent, s.Stream = "", "docks", false, false
	s.Input = "hold dock 4"
	return s
}

func TestResendsToSeveralNodesRunOnce(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, "held")
	})
	s := nonIdempotentSpec(home, wit)
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

func TestHomeLostAfterGrantMeansMayHaveRun(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	release := make(chan struct{})
	defer close(release)
	calls := site.addService(func(http.ResponseWriter, *http.Request) { <-release })
	s := nonIdempotentSpec(home, wit)
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

func TestRecordedResultIsServedByAnyNode(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	s := nonIdempotentSpec(home, wit)
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
	_, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: nonIdempotentSpec(home, wit)})
	refusal := verdict.From(err)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
	require.Equal(t, verdict.CodeWitnessLost, refusal.Code)
	require.Zero(t, calls.Load())
}

func TestRequestReportedNotRunCannotRunLater(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	s := nonIdempotentSpec(home, wit)
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
	require.Zero(t, calls.Load(), "a request reported as not run was run")
}

func TestCancelWorksFromAnyNode(t *testing.T) {
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

// makeUnreachable changes the address of a node in the membership to a closed port.
func (s *fakeSite) makeUnreachable(n *fakeNode) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	require.NoError(s.t, listener.Close())
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.members {
		if s.members[i].Incarnation == n.self.Incarnation {
			s.members[i].PeerAddress = listener.Addr().String()
		}
	}
}

// markLeft records in the membership that a node left, and which node took over its table.
func (s *fakeSite) markLeft(n *fakeNode, successor ident.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.members {
		if s.members[i].Incarnation == n.self.Incarnation {
			s.members[i].State = membership.StateLeft
			s.members[i].Successor = successor
		}
	}
}

// requireWitnessLost submits at node and checks the refusal; final is false when it has a RetryAfter.
func requireWitnessLost(t *testing.T, node *fakeNode, s *request.Spec, final bool) {
	t.Helper()
	_, err := node.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: *s})
	refusal := verdict.From(err)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
	require.Equal(t, verdict.CodeWitnessLost, refusal.Code)
	require.Equal(t, final, refusal.RetryAfter == 0, "retry after %s", refusal.RetryAfter)
}

func TestWitnessLostIsFinalOnceTheWitnessIsGone(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other, successor := site.addNode("home"), site.addNode("wit"), site.addNode("other"), site.addNode("successor")
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	s := nonIdempotentSpec(home, wit)
	site.makeUnreachable(wit)
	site.makeUnreachable(successor)
	steps := []struct {
		name string
		// change changes what the membership says about the witness or its successor.
		change func()
		final  bool
	}{
		{"alive but not answering", func() {}, false},
		{"suspect", func() { site.setState(wit.self.Incarnation, membership.StateSuspect) }, false},
		{"dead", func() { site.setState(wit.self.Incarnation, membership.StateDead) }, true},
		{"left without a successor", func() { site.markLeft(wit, "") }, true},
		{"left with a successor that does not answer", func() { site.markLeft(wit, successor.self.Incarnation) }, false},
		{"left with a successor that is dead", func() { site.setState(successor.self.Incarnation, membership.StateDead) }, true},
		{"left with an unknown successor", func() { site.markLeft(wit, "n9_0000000000000009") }, false},
	}
	for _, step := range steps {
		step.change()
		t.Run(step.name, func(t *testing.T) {
			requireWitnessLost(t, home, &s, step.final)
			requireWitnessLost(t, other, &s, step.final)
		})
	}
	require.Zero(t, calls.Load())
}

// A home that does not answer may still run the request until it is declared dead.
func TestWitnessLostIsNotFinalWhileTheHomeMayAnswer(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	s := nonIdempotentSpec(home, wit)
	site.makeUnreachable(home)
	site.setState(wit.self.Incarnation, membership.StateDead)
	requireWitnessLost(t, other, &s, false)
	site.setState(home.self.Incarnation, membership.StateSuspect)
	requireWitnessLost(t, other, &s, false)
	site.setState(home.self.Incarnation, membership.StateDead)
	requireWitnessLost(t, other, &s, true)
}

func TestHomeServesRunningRequestAfterWitnessDied(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	release := make(chan struct{})
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "held")
	})
	s := nonIdempotentSpec(home, wit)
	_, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return calls.Load() == 1 }, 10*time.Second, time.Millisecond)
	site.setState(wit.self.Incarnation, membership.StateDead)
	a, err := other.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	close(release)
	var running, ended received
	running.follow(t, a, 0)
	require.Equal(t, "held", running.last.Output)
	b, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	ended.follow(t, b, 0)
	require.Equal(t, "held", ended.last.Output)
	require.EqualValues(t, 1, calls.Load())
}

// If the witness does not answer the grant, the home ends the request for good: the
// failure has no RetryAfter.
func TestRequestWithoutGrantFailsFinally(t *testing.T) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	s := nonIdempotentSpec(home, wit)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	site.makeUnreachable(wit)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	var got received
	got.follow(t, a, 0)
	require.Equal(t, dispatch.EventError, got.last.Kind)
	require.Equal(t, verdict.MayHaveRun, got.last.Failure.Verdict)
	require.Equal(t, verdict.CodeWitnessLost, got.last.Failure.Code)
	require.Zero(t, got.last.Failure.RetryAfter)
	require.Zero(t, calls.Load())
}

// fullAdmission refuses all requests.
type fullAdmission struct{}

func (fullAdmission) Admit(*request.Spec) (dispatch.Ticket, error) {
	return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").WithRetryAfter(time.Second)
}

func TestRefusalWhoseWitnessIsGoneIsFinal(t *testing.T) {
	site := newFakeSite(t)
	site.admission = fullAdmission{}
	home, wit := site.addNode("home"), site.addNode("wit")
	s := nonIdempotentSpec(home, wit)
	site.makeUnreachable(wit)
	for _, state := range []membership.State{membership.StateSuspect, membership.StateDead} {
		site.setState(wit.self.Incarnation, state)
		_, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
		refusal := verdict.From(err)
		require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
		require.Equal(t, state == membership.StateDead, refusal.RetryAfter == 0, "%s: retry after %s", state, refusal.RetryAfter)
	}
}
