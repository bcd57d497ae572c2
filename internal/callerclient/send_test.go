package callerclient

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/verdict"
)

type sub = callerapi.Submission

func TestNewIDIsUsedOnlyAfterNotRun(t *testing.T) {
	site := newFakeSite(t, refuse(http.StatusServiceUnavailable, "not_run", "overloaded", 5), answer("$ID", "ok"))
	result := site.client().Send(t.Context(), submission(false, false), nil)
	require.Equal(t, OutcomeComplete, result.Outcome, result.Err)
	calls := site.recordedCalls()
	require.Len(t, calls, 2)
	require.NotEqual(t, calls[0].sub.ID, calls[1].sub.ID)
	require.True(t, strings.HasPrefix(calls[1].sub.ID.Or(""), newIDPrefix))

	for _, verdictText := range []string{"may_have_run", "ran"} {
		site = newFakeSite(t, refuse(http.StatusServiceUnavailable, verdictText, "grant_taken", 0), answer("$ID", "twice"))
		result = site.client().Send(t.Context(), submission(false, false), nil)
		require.Equal(t, OutcomeRefused, result.Outcome)
		require.Equal(t, verdictText, result.Verdict.String())
		require.Len(t, site.recordedCalls(), 1)
	}

	site = newFakeSite(t, refuse(http.StatusServiceUnavailable, "may_have_run", "witness_lost", 5), answer("$ID", "ok"))
	result = site.client().Send(t.Context(), submission(false, false), nil)
	require.Equal(t, OutcomeComplete, result.Outcome)
	requireSameID(t, site.recordedCalls())

	site = newFakeSite(t, refuse(http.StatusServiceUnavailable, "may_have_run", "witness_lost", 0), answer("$ID", "twice"))
	result = site.client().Send(t.Context(), submission(false, false), nil)
	require.Equal(t, OutcomeRefused, result.Outcome)
	require.Equal(t, verdict.MayHaveRun, result.Verdict)
	require.Len(t, site.recordedCalls(), 1, "a refusal without a retry delay is final")
}

// idRecorder records the IDs reported to it, and how many calls the site had received before each.
type idRecorder struct {
	NopObserver
	site        *fakeSite
	ids         []string
	callsBefore []int
}

func (r *idRecorder) IDChosen(id string) {
	r.ids = append(r.ids, id)
	r.callsBefore = append(r.callsBefore, len(r.site.recordedCalls()))
}

func TestIDIsReportedBeforeItIsFirstSent(t *testing.T) {
	site := newFakeSite(t,
		refuse(http.StatusServiceUnavailable, "may_have_run", "witness_lost", 5),
		refuse(http.StatusServiceUnavailable, "not_run", "overloaded", 5),
		answer("$ID", "ok"))
	recorder := &idRecorder{site: site}
	result := site.client().Send(t.Context(), submission(false, false), recorder)
	require.Equal(t, OutcomeComplete, result.Outcome, result.Err)
	calls := site.recordedCalls()
	require.Equal(t, []string{calls[0].sub.ID.Or(""), calls[2].sub.ID.Or("")}, recorder.ids)
	require.Equal(t, []int{0, 2}, recorder.callsBefore)
}

func TestBadInputIsNotRetried(t *testing.T) {
	site := newFakeSite(t, refuse(http.StatusBadRequest, "not_run", "bad_input", 5))
	result := site.client().Send(t.Context(), submission(false, true), nil)
	require.Equal(t, OutcomeRefused, result.Outcome)
	require.Len(t, site.recordedCalls(), 1)
}

func TestOtherNodeIsQueriedWhenANodeDoesNotRespond(t *testing.T) {
	state := func(text string) reply {
		return func(w http.ResponseWriter, r *http.Request, _ *sub) {
			id := strings.TrimPrefix(r.URL.Path, "/v1/requests/")
			_, _ = w.Write([]byte(strings.ReplaceAll(text, "$ID", id)))
		}
	}
	site := newFakeSite(t, stall(),
		state(`{"id":"$ID","phase":"running"}`),
		state(`{"id":"$ID","phase":"done","answer":{"id":"$ID","generation":"g","output":"kept","tokens":1,"moves":1}}`))
	result := site.client().Send(t.Context(), submission(false, false), nil)
	require.Equal(t, OutcomeComplete, result.Outcome, result.Err)
	require.Equal(t, "kept", result.Output)
	require.Equal(t, 1, result.Attempts)
	require.NotEqual(t, site.recordedCalls()[0].node, site.recordedCalls()[1].node)

	site = newFakeSite(t, stall(), refuse(http.StatusNotFound, "may_have_run", "unknown_request", 0), answer("$ID", "second"))
	result = site.client().Send(t.Context(), submission(false, false), nil)
	require.Equal(t, "second", result.Output)
	requireSameID(t, site.recordedCalls())
}

func TestAnswerToAnotherRequestIsRejected(t *testing.T) {
	site := newFakeSite(t, answer("other", "wrong"), answer("$ID", "right"))
	result := site.client().Send(t.Context(), submission(false, false), nil)
	require.Equal(t, "right", result.Output)
	requireSameID(t, site.recordedCalls())
}

func TestVerdictOfALostRequestTellsWhetherItWasSent(t *testing.T) {
	client := New(Options{Seeds: []string{"http://127.0.0.1:1"}})
	request := submission(false, false)
	request.DeadlineMs = 200
	result := client.Send(t.Context(), request, nil)
	require.Equal(t, OutcomeLost, result.Outcome)
	require.Equal(t, verdict.NotRun, result.Verdict)
	require.Empty(t, result.ID)

	site := newFakeSite(t, stall())
	request.DeadlineMs = 250
	result = site.client().Send(t.Context(), request, nil)
	require.Equal(t, OutcomeLost, result.Outcome)
	require.Equal(t, verdict.MayHaveRun, result.Verdict)
}

func TestAddressesAreCachedAndAFailedSeedIsSkipped(t *testing.T) {
	site := newFakeSite(t, answer("$ID", "1"), answer("$ID", "2"))
	client := New(Options{Seeds: []string{"http://127.0.0.1:1", site.nodes[1].URL}, SilenceTimeout: time.Second})
	first, err := client.Addresses(t.Context())
	require.NoError(t, err)
	for _, node := range site.nodes {
		require.Contains(t, []string{first.Addresses[0].URL, first.Addresses[1].URL}, node.URL)
	}
	second, err := client.Addresses(t.Context())
	require.NoError(t, err)
	require.Same(t, first, second)
}

func TestResumeWithoutTheRequestFailsOnlyWhenProgressIsLost(t *testing.T) {
	site := newFakeSite(t, sendEvents(sseAccepted("g"), sseToken(1, "b"), sseDone(2)))
	in := sub{ID: callerapi.NewOptString(testPrefix + "aaaaaaaaaaaaaaaa"), DeadlineMs: 5000, Generation: callerapi.NewOptString("g"), Received: []string{"a"}}
	result := site.client().Resume(t.Context(), in, nil)
	require.Equal(t, "ab", result.Output)

	site = newFakeSite(t, refuse(http.StatusConflict, "may_have_run", "progress_lost", 0))
	result = site.client().Resume(t.Context(), in, nil)
	require.Equal(t, OutcomeRefused, result.Outcome)
	require.Equal(t, []string{"a"}, result.Tokens)

	site = newFakeSite(t,
		refuse(http.StatusNotFound, "may_have_run", "unknown_request", 1),
		sendEvents(sseAccepted("g"), sseToken(1, "b"), sseDone(2)))
	result = site.client().Resume(t.Context(), in, nil)
	require.Equal(t, "ab", result.Output, "the refusal named a retry delay")
}
