package dispatch_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/membership"
	standinengine "mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/verdict"
)

// A placement is released with the time between tokens at its upstream, by which the
// router detects slow upstreams.
func TestPlacementIsReleasedWithTokenLatency(t *testing.T) {
	const interval = 5 * time.Millisecond
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	site.addEngine("e1", interval)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: spec(home, wit, 10)})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 0)
	got.requireWhole(t, 10)
	site.mu.Lock()
	defer site.mu.Unlock()
	require.Len(t, site.tokenLatencies, 1)
	require.Positive(t, site.tokenLatencies[0])
}

func TestStreamIsComplete(t *testing.T) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	site.addEngine("e1", time.Millisecond)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: spec(home, wit, 40)})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 0)
	got.requireWhole(t, 40)
}

// followAcrossEngineCrash reads a long stream, kills its engine after 10 tokens, and
// resumes the stream until it ends.
func followAcrossEngineCrash(t *testing.T, site *fakeSite) received {
	t.Helper()
	home, wit := site.addNode("home"), site.addNode("wit")
	first := site.addEngine("e1", 5*time.Millisecond)
	site.addEngine("e2", time.Millisecond)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: spec(home, wit, longStream)})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 10)
	kill(first)
	b, err := home.dispatcher.Resume(t.Context(), dispatch.Resumption{
		ID: idOf(t, home), Workspace: "w",
		Position: dispatch.Position{Generation: got.generation, Offset: len(got.tokens)},
	})
	require.NoError(t, err)
	got.follow(t, b, 0)
	return got
}

func TestStreamMovesWhenEngineCrashes(t *testing.T) {
	got := followAcrossEngineCrash(t, newFakeSite(t))
	got.requireWhole(t, longStream)
	require.Equal(t, 1, got.last.Moves)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	e := site.addEngine("e1", 10*time.Millisecond)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: spec(home, wit, longStream)})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 5)
	injectFault(t, e.URL, `{"silent":true}`)
	b, err := home.dispatcher.Resume(t.Context(), dispatch.Resumption{
		ID: idOf(t, home), Workspace: "w",
		Position: dispatch.Position{Generation: got.generation, Offset: len(got.tokens)},
	})
	require.NoError(t, err)
	got.follow(t, b, 0)
	got.requireWhole(t, longStream)
	require.Zero(t, got.last.Moves, "the stream continues at its engine")
}

func TestReleasedRequestContinuesAtAnotherNode(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	site.addEngine("e1", 5*time.Millisecond)
	s := spec(home, wit, longStream)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 10)
	site.setState(home.self.Incarnation, membership.StateLeaving)
	home.dispatcher.Drain()
	require.Equal(t, 1, home.dispatcher.ReleaseRequests())
	b, err := other.dispatcher.Resume(t.Context(), dispatch.Resumption{
		ID: s.ID, Workspace: "w", Position: dispatch.Position{Generation: got.generation, Offset: len(got.tokens)},
	})
	require.NoError(t, err)
	got.follow(t, b, 0)
	got.requireWhole(t, longStream)
}

func TestRequestContinuesFromCallersTokensWhenHomeAndEngineAreLost(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	first := site.addEngine("e1", time.Millisecond)
	s := spec(home, wit, 120)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 100)
	kill(first)
	site.MarkLeaving("e1")
	site.setState(home.self.Incarnation, membership.StateDead)
	site.addEngine("e2", time.Millisecond)
	b, err := other.dispatcher.Submit(t.Context(), dispatch.Submission{
		Spec:     s,
		Position: dispatch.Position{Generation: got.generation, Offset: len(got.tokens), Received: got.tokens},
	})
	require.NoError(t, err)
	got.follow(t, b, 0)
	got.requireWhole(t, 120)
}

func TestRequestOfAnotherWorkspaceIsUnknown(t *testing.T) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	site.addEngine("e1", time.Millisecond)
	s := spec(home, wit, 5)
	_, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	_, err = home.dispatcher.Fetch(t.Context(), s.ID, "other")
	require.Equal(t, verdict.CodeUnknownRequest, verdict.From(err).Code)
	_, err = wit.dispatcher.Resume(t.Context(), dispatch.Resumption{ID: s.ID, Workspace: "other"})
	require.Equal(t, verdict.CodeUnknownRequest, verdict.From(err).Code)
	_, err = wit.dispatcher.Cancel(t.Context(), s.ID, "other")
	require.Equal(t, verdict.CodeUnknownRequest, verdict.From(err).Code)
}

func TestStreamMovesWithCacheWhenEngineLeaves(t *testing.T) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	site.addEngine("e1", 5*time.Millisecond)
	second := site.addEngine("e2", time.Millisecond)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: spec(home, wit, longStream)})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 10)
	site.MarkLeaving("e1")
	b, err := home.dispatcher.Resume(t.Context(), dispatch.Resumption{
		ID: idOf(t, home), Workspace: "w",
		Position: dispatch.Position{Generation: got.generation, Offset: len(got.tokens)},
	})
	require.NoError(t, err)
	got.follow(t, b, 0)
	got.requireWhole(t, longStream)
	require.Equal(t, 1, got.last.Moves)
	require.Zero(t, statsOf(t, second.URL).Recomputed, "the KV cache was imported")
}

func statsOf(t testing.TB, base string) standinengine.Stats {
	t.Helper()
	resp, err := http.Get(base + "/stats")
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	var out standinengine.Stats
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}
