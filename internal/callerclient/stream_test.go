package callerclient

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

func TestConnectionLostBeforeTheResponseIsResentWithTheSameIDToAnotherNode(t *testing.T) {
	site := newFakeSite(t, sendAndAbort(), sendEvents(sseAccepted("g"), sseToken(0, "a"), sseDone(1)))
	result := site.client().Send(t.Context(), submission(true, false), nil)
	require.Equal(t, OutcomeComplete, result.Outcome, result.Err)
	calls := site.recordedCalls()
	require.Len(t, calls, 2)
	requireSameID(t, calls)
	require.NotEqual(t, calls[0].node, calls[1].node)
	require.Equal(t, 2, result.Attempts)
}

func TestSilentStreamIsResumedAtAnotherAddress(t *testing.T) {
	site := newFakeSite(t, stall(sseAccepted("g"), sseToken(0, "a"), sseToken(1, "b")), sendEvents(sseAccepted("g"), sseToken(2, "c"), sseDone(3)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeComplete, result.Outcome, result.Err)
	require.Equal(t, "abc", result.Output)
	require.Equal(t, verdict.Ran, result.Verdict)
	require.Equal(t, 1, result.Moves)
	calls := site.recordedCalls()
	requireSameID(t, calls)
	require.Equal(t, "generation=g&offset=2", calls[1].query)
	require.NotEqual(t, calls[0].node, calls[1].node)
}

func TestMovedStreamIsResumedAtOnce(t *testing.T) {
	site := newFakeSite(t,
		sendEvents(sseAccepted("g"), sseToken(0, "a"), "event: moved\ndata: {}\n\n"),
		sendEvents(sseAccepted("g"), sseToken(1, "b"), sseDone(2)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, "ab", result.Output)
	require.Equal(t, OutcomeComplete, result.Outcome)
}

func TestTokensOutOfOrderOrRepeatedAreNeverAddedToTheAnswer(t *testing.T) {
	site := newFakeSite(t,
		sendEvents(sseAccepted("g"), sseToken(1, "b"), sseToken(0, "a")),
		sendEvents(sseAccepted("g"), sseToken(0, "a"), sseToken(0, "a"), sseToken(1, "b"), sseToken(3, "d")),
		sendEvents(sseAccepted("g"), sseToken(1, "b"), sseToken(2, "c"), sseDone(4)),
		sendEvents(sseAccepted("g"), sseToken(3, "d"), sseDone(4)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeComplete, result.Outcome, result.Err)
	require.Equal(t, "abcd", result.Output)
	require.Equal(t, 4, result.Attempts)
	require.Zero(t, result.Restarts)
}

func TestRequestIsResubmittedWithItsTokensWhenProgressIsLost(t *testing.T) {
	for _, code := range []string{"progress_lost", "unknown_request"} {
		site := newFakeSite(t,
			sendAndAbort(sseAccepted("g"), sseToken(0, "a"), sseToken(1, "b")),
			refuse(http.StatusConflict, "may_have_run", code, 0),
			sendEvents(sseAccepted("g"), sseToken(2, "c"), sseDone(3)))
		result := site.client().Send(t.Context(), submission(true, true), nil)
		require.Equal(t, "abc", result.Output, code)
		calls := site.recordedCalls()
		requireSameID(t, calls)
		require.Equal(t, []string{"a", "b"}, calls[2].sub.Received)
		require.Equal(t, "g", calls[2].sub.Generation.Or(""))
	}
}

func TestTokensOfTwoGenerationsAreNeverJoined(t *testing.T) {
	site := newFakeSite(t,
		sendAndAbort(sseAccepted("g"), sseToken(0, "a")),
		refuse(http.StatusConflict, "ran", "generation_changed", 0),
		sendAndAbort(sseAccepted("h"), sseToken(0, "x")),
		sendEvents(sseAccepted("i"), sseToken(1, "z"), sseDone(2)),
		sendEvents(sseAccepted("i"), sseToken(0, "y"), sseToken(1, "z"), sseDone(2)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeComplete, result.Outcome, result.Err)
	require.Equal(t, "yz", result.Output)
	require.Equal(t, 2, result.Restarts)
	require.Equal(t, "i", result.Generation)
}

func TestStreamWithMissingTokensIsNotComplete(t *testing.T) {
	site := newFakeSite(t, sendEvents(sseAccepted("g"), sseToken(0, "a"), sseDone(2)), refuse(http.StatusGone, "ran", "cancelled", 0))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, OutcomeRefused, result.Outcome)
	require.Equal(t, verdict.Ran, result.Verdict)
	require.Empty(t, result.Output)
}

func TestStreamOfAnotherRequestIsRejected(t *testing.T) {
	foreign := "event: accepted\ndata: {\"id\":\"other\",\"generation\":\"g\"}\n\n"
	site := newFakeSite(t, sendEvents(foreign, sseToken(0, "x"), sseDone(1)), sendEvents(sseAccepted("g"), sseToken(0, "a"), sseDone(1)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, "a", result.Output)
}

func TestGenerationThatContinuesAfterTheTokensIsAccepted(t *testing.T) {
	next := func(generation string, offset int) string {
		return fmt.Sprintf("event: accepted\ndata: {\"id\":\"$ID\",\"generation\":%q,\"offset\":%d}\n\n", generation, offset)
	}
	site := newFakeSite(t,
		sendAndAbort(next("", 0), next("g", 0), sseToken(0, "a"), next("h", 1), sseToken(1, "b")),
		sendEvents(next("i", 2), sseToken(2, "c"), sseDone(3)))
	result := site.client().Send(t.Context(), submission(true, true), nil)
	require.Equal(t, "abc", result.Output, result.Err)
	require.Zero(t, result.Restarts)
	require.Equal(t, "generation=h&offset=2", site.recordedCalls()[1].query)
}

func TestReplyOfAPlainServiceIsInTheDoneEvent(t *testing.T) {
	site := newFakeSite(t, sendEvents(sseAccepted(""), "event: done\ndata: {\"tokens\":0,\"moves\":0,\"output\":\"held\"}\n\n"))
	result := site.client().Send(t.Context(), submission(true, false), nil)
	require.Equal(t, OutcomeComplete, result.Outcome)
	require.Equal(t, "held", result.Output)
}
