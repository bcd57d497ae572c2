package dispatch_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/sse"
	"mangoledge.example/mangoledge/internal/standin/chain"
	standinengine "mangoledge.example/mangoledge/internal/standin/engine"
)

const (
	// manyTokens is a stream that takes longer than amplyNotice at the leaving engine.
	manyTokens = 3000
	// ampleNotice is enough for the export of a large prompt's cache, however busy the machine is.
	ampleNotice = 8 * time.Second
	// largePrompt is in words.
	largePrompt = 2000
)

// leavingSite is a site with an engine that leaves, e1, and another, e2, and a
// stream that has begun at e1.
type leavingSite struct {
	*fakeSite
	t        *testing.T
	home     *fakeNode
	first    string
	second   string
	input    string
	attached dispatch.Attachment
	got      received
	kill     func()
}

// newLeavingSite begins a stream of a prompt in words and a number of tokens.
func newLeavingSite(t *testing.T, promptWords, tokens int, idempotent bool) *leavingSite {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	options := reclaimEngine("e1")
	options.TokenInterval = 5 * time.Millisecond
	first := site.addEngineLike(options)
	options = reclaimEngine("e2")
	options.TokenInterval = time.Millisecond
	second := site.addEngineLike(options)
	s := spec(home, wit, tokens)
	s.Input = words(promptWords, 0)
	s.Idempotent = idempotent
	s.Deadline = time.Now().Add(time.Minute)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	l := &leavingSite{fakeSite: site, t: t, home: home, first: first.URL, second: second.URL, input: s.Input, attached: a}
	l.kill = func() { kill(first) }
	l.got.follow(t, a, 20)
	return l
}

// finish follows the stream to its end, which must be whole.
func (l *leavingSite) finish(tokens int) {
	l.t.Helper()
	b, err := l.home.dispatcher.Resume(l.t.Context(), dispatch.Resumption{
		ID: idOf(l.t, l.home), Workspace: "w",
		Position: dispatch.Position{Generation: l.got.generation, Offset: len(l.got.tokens)},
	})
	require.NoError(l.t, err)
	l.got.follow(l.t, b, 0)
	l.got.requireWholeOf(l.t, l.input, tokens)
}

func (l *leavingSite) targetStats() standinengine.Stats {
	return statsOf(l.t, l.second)
}

func TestStreamThatEndsInTheNoticeStays(t *testing.T) {
	l := newLeavingSite(t, largePrompt, 100, true)
	l.reclaim("e1", ampleNotice)
	l.finish(100)
	require.Zero(t, l.got.last.Moves)
	require.Zero(t, l.targetStats().Started, "no other engine was asked")
	require.Equal(t, recoveryCount{streams: 1}, l.recoveredBy(recovery.MethodStay))
	require.Len(t, l.noted("recovery"), 1)
	require.Contains(t, l.noted("recovery")[0], "the stream stays to its end, and nothing is computed again")
	require.Empty(t, l.noted("export"))
}

func TestStreamThatOutlastsTheNoticeTakesItsCacheAlong(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	l.reclaim("e1", ampleNotice)
	l.finish(manyTokens)
	require.Equal(t, 1, l.got.last.Moves)
	require.Zero(t, l.targetStats().Recomputed)
	require.Equal(t, recoveryCount{streams: 1}, l.recoveredBy(recovery.MethodTransfer))
	require.Zero(t, l.recoveredBy(recovery.MethodPrefill))
	require.Contains(t, l.noted("recovery")[0], "its KV cache moves to another upstream")
}

func TestStreamIsPrefilledElsewhereWhenTheNoticeIsTooShortForAnExport(t *testing.T) {
	l := newLeavingSite(t, 2*largePrompt, manyTokens, true)
	l.reclaim("e1", 400*time.Millisecond)
	taken := time.AfterFunc(400*time.Millisecond, l.kill)
	defer taken.Stop()
	l.finish(manyTokens)
	require.Empty(t, l.noted("export"), "no export was begun")
	require.Empty(t, l.noted("export failed"))
	require.Empty(t, l.noted("attach failed"), "nobody waited for the upstream once it was gone")
	require.GreaterOrEqual(t, l.targetStats().Recomputed, 2*largePrompt)
	count := l.recoveredBy(recovery.MethodPrefill)
	require.Equal(t, 1, count.streams)
	require.GreaterOrEqual(t, count.tokens, 2*largePrompt)
	require.Contains(t, l.noted("recovery")[0], "tokens are computed again at another upstream")
}

func TestStreamGoesOnWhenItsExportFailsMidway(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	command(t, l.first, `{"failExports":true}`)
	l.reclaim("e1", ampleNotice)
	l.finish(manyTokens)
	require.Len(t, l.noted("export failed"), 1)
	require.Empty(t, l.noted("export"))
	require.Zero(t, l.recoveredBy(recovery.MethodTransfer))
	require.Equal(t, 1, l.recoveredBy(recovery.MethodPrefill).streams)
	require.GreaterOrEqual(t, l.targetStats().Recomputed, largePrompt)
}

func TestStreamGoesOnWhenTheImportFails(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	command(t, l.second, `{"failImports":true}`)
	l.reclaim("e1", ampleNotice)
	l.finish(manyTokens)
	require.Len(t, l.noted("import failed"), 1)
	require.Zero(t, l.recoveredBy(recovery.MethodTransfer))
	require.Equal(t, 1, l.recoveredBy(recovery.MethodPrefill).streams)
}

func TestStreamOfAnUpstreamThatSaysNoTimeMovesAtOnce(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	l.MarkLeaving("e1")
	l.finish(manyTokens)
	require.Equal(t, recoveryCount{streams: 1}, l.recoveredBy(recovery.MethodTransfer))
	require.Contains(t, l.noted("recovery")[0], "nobody has said when the upstream goes")
}

func TestNonIdempotentStreamStaysWhateverTheNotice(t *testing.T) {
	l := newLeavingSite(t, largePrompt, 100, false)
	l.reclaim("e1", time.Millisecond)
	l.finish(100)
	require.Zero(t, l.targetStats().Started)
	require.Empty(t, l.noted("recovery"))
}

const (
	// reportedTokens and heldTokens are how many tokens of a stream its witness and its caller know.
	reportedTokens = 10
	heldTokens     = 100
	// scriptRandom is the random part of the tokens of addScriptedEngine.
	scriptRandom = 1
)

// addScriptedEngine starts an engine that sends reportedTokens, once more is
// closed heldTokens, and then nothing; readers that attach get a token each
// reclaimPace. It exports nothing.
func (s *fakeSite) addScriptedEngine(id ident.Upstream, more <-chan struct{}) {
	var tokens []string
	for previous, i := prompt, 0; i < heldTokens; i++ {
		previous = chain.Token(i, previous, scriptRandom)
		tokens = append(tokens, previous)
	}
	send := func(w http.ResponseWriter, from, to int) {
		for i := from; i < to; i++ {
			_ = sse.Write(w, "", engine.Chunk{Offset: i, Text: tokens[i]})
		}
		_ = http.NewResponseController(w).Flush()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		send(w, 0, reportedTokens)
		<-more
		send(w, reportedTokens, heldTokens)
		<-r.Context().Done()
	})
	mux.HandleFunc("GET /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		for ; offset < heldTokens && r.Context().Err() == nil; offset++ {
			send(w, offset, offset+1)
			time.Sleep(reclaimPace)
		}
	})
	server := httptest.NewServer(mux)
	s.t.Cleanup(func() { kill(server); server.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, fleet.Upstream{ID: id, URL: server.URL, State: fleet.StateReady})
}

// TestTakeOverOfALeavingStreamJoinsNoGenerations has a node take over a stream
// whose caller holds more tokens than the witness knows, while its engine has no
// time left to hand over what it has.
func TestTakeOverOfALeavingStreamJoinsNoGenerations(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	more := make(chan struct{})
	site.addScriptedEngine("e1", more)
	site.addEngine("e2", time.Millisecond)
	s := spec(home, wit, 2*heldTokens)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	site.setState(home.self.Incarnation, membership.StateDead)
	require.Eventually(t, func() bool {
		known, err := other.dispatcher.Fetch(t.Context(), s.ID, "w")
		return err == nil && len(known.Tokens) == reportedTokens
	}, 10*time.Second, time.Millisecond, "the witness has heard of the first tokens")
	close(more)
	var got received
	got.follow(t, a, heldTokens)
	site.reclaim("e1", recovery.StayMargin)
	position := dispatch.Position{Generation: got.generation, Offset: len(got.tokens)}
	b, err := other.dispatcher.Resume(t.Context(), dispatch.Resumption{ID: s.ID, Workspace: "w", Position: position})
	if err == nil {
		got.follow(t, b, 0)
	}
	if err != nil || got.last.Kind == dispatch.EventError {
		position.Received = got.tokens
		b, err = other.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s, Position: position})
		require.NoError(t, err)
		got.follow(t, b, 0)
	}
	got.requireWhole(t, 2*heldTokens)
}
