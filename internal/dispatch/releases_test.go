package dispatch_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// mixedSite is a site in the middle of a roll: two nodes of each of two protocols.
type mixedSite struct {
	*fakeSite
	old, fresh [2]*fakeNode
}

func newMixedSite(t *testing.T) mixedSite {
	site := newFakeSite(t)
	return mixedSite{
		fakeSite: site,
		old:      [2]*fakeNode{site.addSpeaker("old1", 1), site.addSpeaker("old2", 1)},
		fresh:    [2]*fakeNode{site.addSpeaker("new1", 2), site.addSpeaker("new2", 2)},
	}
}

// requireOutput submits at node and checks what is answered.
func requireOutput(t *testing.T, node *fakeNode, s *request.Spec, output string) {
	t.Helper()
	a, err := node.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: *s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 0)
	require.Equal(t, dispatch.EventDone, got.last.Kind)
	require.Equal(t, output, got.last.Output)
}

func TestAMixedSiteAnswersRequestsOfBothReleasesOnce(t *testing.T) {
	site := newMixedSite(t)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	for i, release := range [][2]*fakeNode{site.old, site.fresh} {
		s := onceSpec(release[0], release[1])
		requireOutput(t, release[1], &s, "held")
		requireOutput(t, release[0], &s, "held")
		require.EqualValues(t, i+1, calls.Load())
	}
}

// A resend that reaches a node of the other release, which can't ask who runs it.
func TestARequestOfTheOtherReleaseIsNotRunTwice(t *testing.T) {
	site := newMixedSite(t)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	s := onceSpec(site.old[0], site.old[1])
	for _, node := range site.fresh {
		requireWitnessLost(t, node, &s, false)
	}
	require.Zero(t, calls.Load())
	require.Empty(t, site.noted("take over"), "nobody was asked in vain")
	requireOutput(t, site.old[0], &s, "held")
	requireWitnessLost(t, site.fresh[0], &s, false)
	require.EqualValues(t, 1, calls.Load())
}

func TestAnIdempotentRequestOfTheOtherReleaseIsAnswered(t *testing.T) {
	site := newMixedSite(t)
	site.addEngine("e1", time.Millisecond)
	s := spec(site.old[0], site.old[1], 5)
	a, err := site.fresh[0].dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 0)
	require.Equal(t, dispatch.EventDone, got.last.Kind)
	require.Len(t, got.tokens, 5)
}

func TestANodeThatStopsSendsItsRequestsToItsOwnRelease(t *testing.T) {
	site := newMixedSite(t)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	s := onceSpec(site.fresh[0], site.fresh[1])
	site.fresh[0].dispatcher.Drain()
	requireOutput(t, site.fresh[0], &s, "held")
	require.EqualValues(t, 1, calls.Load())
	require.Len(t, site.fresh[1].dispatcher.Records(), 1)

	site.fresh[1].dispatcher.Drain()
	other := onceSpec(site.fresh[0], site.fresh[1])
	_, err := site.fresh[0].dispatcher.Submit(t.Context(), dispatch.Submission{Spec: other})
	require.Equal(t, verdict.CodeStopping, verdict.From(err).Code)
	for _, node := range site.old {
		require.Empty(t, node.dispatcher.Records())
		require.Zero(t, node.connections.Load())
	}
}
