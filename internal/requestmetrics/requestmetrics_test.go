package requestmetrics

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/verdict"
)

// scriptedDispatcher is a dispatcher and attachment that emits given events, or refuses all requests.
type scriptedDispatcher struct {
	Next
	events  []dispatch.Event
	refusal error
}

func (s *scriptedDispatcher) Submit(context.Context, dispatch.Submission) (dispatch.Attachment, error) {
	return s, s.refusal
}

func (s *scriptedDispatcher) Resume(context.Context, dispatch.Resumption) (dispatch.Attachment, error) {
	return s, s.refusal
}

func (s *scriptedDispatcher) Follow(_ context.Context, emit dispatch.Emit) error {
	for _, event := range s.events {
		if err := emit(event); err != nil {
			return err
		}
	}
	return nil
}

func (s *scriptedDispatcher) Close() {}

func TestEventsAndRefusalsAreCounted(t *testing.T) {
	registry := metrics.NewRegistry()
	next := &scriptedDispatcher{events: []dispatch.Event{
		{Kind: dispatch.EventAccepted},
		{Kind: dispatch.EventToken},
		{Kind: dispatch.EventHeartbeat},
		{Kind: dispatch.EventToken},
		{Kind: dispatch.EventToken},
		{Kind: dispatch.EventDone},
	}}
	counted := New(next, registry)
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }

	attachment, err := counted.Submit(t.Context(), dispatch.Submission{})
	require.NoError(t, err)
	emitted := 0
	require.NoError(t, attachment.Follow(t.Context(), func(dispatch.Event) error {
		emitted++
		require.EqualValues(t, 1, count("requests.followed"))
		return nil
	}))
	require.Equal(t, len(next.events), emitted)
	require.EqualValues(t, 3, count("requests.tokens_sent_total"))
	require.EqualValues(t, 1, count("requests.answered_total"))
	require.Zero(t, count("requests.followed"))
	require.EqualValues(t, 1, projectmetrics.GetOrRegisterLatency("requests.first_token_seconds", registry).Count())
	require.EqualValues(t, 2, projectmetrics.GetOrRegisterLatency("requests.token_gap_seconds", registry).Count())
	require.EqualValues(t, 1, projectmetrics.GetOrRegisterLatency("requests.answer_seconds", registry).Count())

	attachment, err = counted.Resume(t.Context(), dispatch.Resumption{})
	require.NoError(t, err)
	require.NoError(t, attachment.Follow(t.Context(), func(dispatch.Event) error { return nil }))
	require.EqualValues(t, 1, count("requests.resumed_total"))
	require.EqualValues(t, 1, projectmetrics.GetOrRegisterLatency("requests.first_token_seconds", registry).Count(), "the first token of a resumed stream was timed")

	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
	next.events = []dispatch.Event{{Kind: dispatch.EventError, Failure: refusal}}
	attachment, err = counted.Submit(t.Context(), dispatch.Submission{})
	require.NoError(t, err)
	require.NoError(t, attachment.Follow(t.Context(), func(dispatch.Event) error { return nil }))
	next.refusal = refusal
	_, err = counted.Submit(t.Context(), dispatch.Submission{})
	require.ErrorIs(t, err, refusal)
	require.EqualValues(t, 2, count(`requests.refused_total{code="overloaded",verdict="not_run"}`))
}

func TestRecoveriesAreCountedByMethod(t *testing.T) {
	registry := metrics.NewRegistry()
	r := NewRecoveryCounter(registry)
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	require.NotNil(t, registry.Get(`streams.recovered_total{method="stay"}`), "not exposed before the first recovery")
	r.Recovered(recovery.MethodPrefill, 1200)
	r.Recovered(recovery.MethodPrefill, 300)
	r.Recovered(recovery.MethodTransfer, 0)
	require.EqualValues(t, 2, count(`streams.recovered_total{method="prefill"}`))
	require.EqualValues(t, 1500, count(`streams.recomputed_tokens_total{method="prefill"}`))
	require.EqualValues(t, 1, count(`streams.recovered_total{method="transfer"}`))
	require.Zero(t, count(`streams.recomputed_tokens_total{method="transfer"}`))
}

func BenchmarkToken(b *testing.B) {
	f := &countedAttachment{dispatcher: New(&scriptedDispatcher{}, metrics.NewRegistry())}
	event := dispatch.Event{Kind: dispatch.EventToken, Text: "x"}
	b.ReportAllocs()
	for b.Loop() {
		f.countEvent(&event)
	}
}
