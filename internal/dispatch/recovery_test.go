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
	// manyTokens is the length of a stream that takes longer than ampleNotice at the
	// leaving engine.
	manyTokens = 3000
	// ampleNotice is long enough to export the cache of a large prompt, even on a busy machine.
	ampleNotice = 8 * time.Second
	// largePrompt is the length of a prompt in words.
	largePrompt = 2000
)

// leavingSite is a site with two engines and a stream that has started at e1, the engine
// that will leave; e2 stays.
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

// newLeavingSite starts the stream, with a prompt of promptWords words and the given
// number of tokens, and reads its first 20 tokens.
func newLeavingSite(t *testing.T, promptWords, tokens int, idempotent bool) *leavingSite {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	options := reclaimEngine("e1")
	options.TokenInterval = 5 * time.Millisecond
	first := site.addEngineWithOptions(options)
	options = reclaimEngine("e2")
	options.TokenInterval = time.Millisecond
	second := site.addEngineWithOptions(options)
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

// finish follows the stream to its end and checks that the answer is complete.
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

// targetStats returns the statistics of e2.
func (l *leavingSite) targetStats() standinengine.Stats {
	return statsOf(l.t, l.second)
}

func TestStreamThatEndsWithinNoticeStays(t *testing.T) {
	l := newLeavingSite(t, largePrompt, 100, true)
	l.reclaim("e1", ampleNotice)
	l.finish(100)
	require.Zero(t, l.got.last.Moves)
	require.Zero(t, l.targetStats().Started, "the other engine was not used")
	require.Equal(t, recoveryCount{streams: 1}, l.recoveredBy(recovery.MethodStay))
	require.Len(t, l.reasonsOf("recovery"), 1)
	require.Contains(t, l.reasonsOf("recovery")[0], "the stream stays to its end, and nothing is computed again")
	require.Empty(t, l.reasonsOf("export"))
}

func TestStreamLongerThanNoticeMovesWithCache(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	l.reclaim("e1", ampleNotice)
	l.finish(manyTokens)
	require.Equal(t, 1, l.got.last.Moves)
	require.Zero(t, l.targetStats().Recomputed)
	require.Equal(t, recoveryCount{streams: 1}, l.recoveredBy(recovery.MethodTransfer))
	require.Zero(t, l.recoveredBy(recovery.MethodPrefill))
	require.Contains(t, l.reasonsOf("recovery")[0], "its KV cache moves to another upstream")
}

func TestStreamIsPrefilledElsewhereWhenNoticeIsTooShortForExport(t *testing.T) {
	l := newLeavingSite(t, 2*largePrompt, manyTokens, true)
	l.reclaim("e1", 400*time.Millisecond)
	taken := time.AfterFunc(400*time.Millisecond, l.kill)
	defer taken.Stop()
	l.finish(manyTokens)
	require.Empty(t, l.reasonsOf("export"), "no export finished")
	require.Empty(t, l.reasonsOf("export failed"))
	require.Empty(t, l.reasonsOf("attach failed"), "no attach was tried after the upstream was gone")
	require.GreaterOrEqual(t, l.targetStats().Recomputed, 2*largePrompt)
	count := l.recoveredBy(recovery.MethodPrefill)
	require.Equal(t, 1, count.streams)
	require.GreaterOrEqual(t, count.tokens, 2*largePrompt)
	require.Contains(t, l.reasonsOf("recovery")[0], "tokens are computed again at another upstream")
}

func TestStreamContinuesWhenExportFails(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	injectFault(t, l.first, `{"failExports":true}`)
	l.reclaim("e1", ampleNotice)
	l.finish(manyTokens)
	require.Len(t, l.reasonsOf("export failed"), 1)
	require.Empty(t, l.reasonsOf("export"))
	require.Zero(t, l.recoveredBy(recovery.MethodTransfer))
	require.Equal(t, 1, l.recoveredBy(recovery.MethodPrefill).streams)
	require.GreaterOrEqual(t, l.targetStats().Recomputed, largePrompt)
}

func TestStreamContinuesWhenImportFails(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	injectFault(t, l.second, `{"failImports":true}`)
	l.reclaim("e1", ampleNotice)
	l.finish(manyTokens)
	require.Len(t, l.reasonsOf("import failed"), 1)
	require.Zero(t, l.recoveredBy(recovery.MethodTransfer))
	require.Equal(t, 1, l.recoveredBy(recovery.MethodPrefill).streams)
}

func TestStreamMovesAtOnceWhenReclaimTimeIsUnknown(t *testing.T) {
	l := newLeavingSite(t, largePrompt, manyTokens, true)
	l.MarkLeaving("e1")
	l.finish(manyTokens)
	require.Equal(t, recoveryCount{streams: 1}, l.recoveredBy(recovery.MethodTransfer))
	require.Contains(t, l.reasonsOf("recovery")[0], "nobody has said when the upstream goes")
}

func TestNonIdempotentStreamStaysWithAnyNotice(t *testing.T) {
	l := newLeavingSite(t, largePrompt, 100, false)
	l.reclaim("e1", time.Millisecond)
	l.finish(100)
	require.Zero(t, l.targetStats().Started)
	require.Empty(t, l.reasonsOf("recovery"))
}

const (
	// reportedTokens and heldTokens are the numbers of tokens that the stream's witness and
	// caller have.
	reportedTokens = 10
	heldTokens     = 100
	// scriptRandom is the random part of the tokens from addScriptedEngine.
	scriptRandom = 1
)

// addScriptedEngine starts an engine that sends reportedTokens tokens, up to heldTokens
// tokens once more is closed, and then nothing. Readers that attach get one token per
// reclaimTokenInterval. The engine has no export.
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
			time.Sleep(reclaimTokenInterval)
		}
	})
	server := httptest.NewServer(mux)
	s.t.Cleanup(func() { kill(server); server.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, fleet.Upstream{ID: id, URL: server.URL, State: fleet.StateReady})
}

// A node takes over a stream whose caller has more tokens than the witness, while the
// leaving engine has no time left for an export. The caller must not get tokens of two
// generations that do not continue each other.
func TestTakeOverOfLeavingStreamMixesNoGenerations(t *testing.T) {
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
	}, 10*time.Second, time.Millisecond, "the witness has the first tokens")
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
