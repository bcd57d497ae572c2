package callerclient

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

func TestCutBeforeTheAnswerIsResentWithTheSameIDElsewhere(t *testing.T) {
	site := newFakeSite(t, cut(), events(accepted("g"), token(0, "a"), done(1)))
	result := site.client().Send(t.Context(), submission(true, false), nil)
	require.Equal(t, OutcomeWhole, result.Outcome, result.Err)
	calls := site.seen()
	require.Len(t, calls, 2)
	requireSameID(t, calls)
	require.NotEqual(t, calls[0].node, calls[1].node)
	require.Equal(t, 2, result.Attempts)
}

func TestSilentStreamIsResumedAtAnotherAddress(t *testing.T) {
	site := newFakeSite(t, silent(accepted("g"), token(0, "a"), token(1, "b")), events(accepted("g"), token(2, "c"), done(3)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeWhole, result.Outcome, result.Err)
	require.Equal(t, "abc", result.Output)
	require.Equal(t, verdict.Ran, result.Verdict)
	require.Equal(t, 1, result.Moves)
	calls := site.seen()
	requireSameID(t, calls)
	require.Equal(t, "generation=g&offset=2", calls[1].query)
	require.NotEqual(t, calls[0].node, calls[1].node)
}

func TestMovedStreamComesBackElsewhereAtOnce(t *testing.T) {
	site := newFakeSite(t,
		events(accepted("g"), token(0, "a"), "event: moved\ndata: {}\n\n"),
		events(accepted("g"), token(1, "b"), done(2)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, "ab", result.Output)
	require.Equal(t, OutcomeWhole, result.Outcome)
}

func TestTokensOutOfOrderOrTwiceNeverReachTheAnswer(t *testing.T) {
	site := newFakeSite(t,
		events(accepted("g"), token(1, "b"), token(0, "a")),
		events(accepted("g"), token(0, "a"), token(0, "a"), token(1, "b"), token(3, "d")),
		events(accepted("g"), token(1, "b"), token(2, "c"), done(4)),
		events(accepted("g"), token(3, "d"), done(4)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeWhole, result.Outcome, result.Err)
	require.Equal(t, "abcd", result.Output)
	require.Equal(t, 4, result.Attempts)
	require.Zero(t, result.Restarts)
}

func TestLostProgressIsResubmittedWithTheTokensReceived(t *testing.T) {
	for _, code := range []string{"progress_lost", "unknown_request"} {
		site := newFakeSite(t,
			cut(accepted("g"), token(0, "a"), token(1, "b")),
			refuse(http.StatusConflict, "may_have_run", code, 0),
			events(accepted("g"), token(2, "c"), done(3)))
		result := site.client().Send(t.Context(), submission(true, true), nil)
		require.Equal(t, "abc", result.Output, code)
		calls := site.seen()
		requireSameID(t, calls)
		require.Equal(t, []string{"a", "b"}, calls[2].sub.Received)
		require.Equal(t, "g", calls[2].sub.Generation.Or(""))
	}
}

func TestAnotherGenerationIsNeverJoined(t *testing.T) {
	site := newFakeSite(t,
		cut(accepted("g"), token(0, "a")),
		refuse(http.StatusConflict, "ran", "generation_changed", 0),
		cut(accepted("h"), token(0, "x")),
		events(accepted("i"), token(1, "z"), done(2)),
		events(accepted("i"), token(0, "y"), token(1, "z"), done(2)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeWhole, result.Outcome, result.Err)
	require.Equal(t, "yz", result.Output)
	require.Equal(t, 2, result.Restarts)
	require.Equal(t, "i", result.Generation)
}

func TestShortStreamIsNotWhole(t *testing.T) {
	site := newFakeSite(t, events(accepted("g"), token(0, "a"), done(2)), refuse(http.StatusGone, "ran", "cancelled", 0))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeRefused, result.Outcome)
	require.Equal(t, verdict.Ran, result.Verdict)
	require.Empty(t, result.Output)
}

func TestStreamOfAnotherRequestIsNotTaken(t *testing.T) {
	foreign := "event: accepted\ndata: {\"id\":\"other\",\"generation\":\"g\"}\n\n"
	site := newFakeSite(t, events(foreign, token(0, "x"), done(1)), events(accepted("g"), token(0, "a"), done(1)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, "a", result.Output)
}

func TestAGenerationThatGoesOnBehindTheTokensIsOneAnswer(t *testing.T) {
	next := func(generation string, offset int) string {
		return fmt.Sprintf("event: accepted\ndata: {\"id\":\"$ID\",\"generation\":%q,\"offset\":%d}\n\n", generation, offset)
	}
	site := newFakeSite(t,
		cut(next("", 0), next("g", 0), token(0, "a"), next("h", 1), token(1, "b")),
		events(next("i", 2), token(2, "c"), done(3)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, "abc", result.Output, result.Err)
	require.Zero(t, result.Restarts)
	require.Equal(t, "generation=h&offset=2", site.seen()[1].query)
}

func TestTheReplyOfAPlainServiceComesWithTheLastEvent(t *testing.T) {
	site := newFakeSite(t, events(accepted(""), "event: done\ndata: {\"tokens\":0,\"moves\":0,\"output\":\"held\"}\n\n"))
	result := site.client().Send(t.Context(), submission(true, false), nil)
	require.Equal(t, OutcomeWhole, result.Outcome)
	require.Equal(t, "held", result.Output)
}
