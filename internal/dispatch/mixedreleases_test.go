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

// mixedSite is a site during a rolling update: two nodes of each of two protocol versions.
type mixedSite struct {
	*fakeSite
	old, fresh [2]*fakeNode
}

func newMixedSite(t *testing.T) mixedSite {
	site := newFakeSite(t)
	return mixedSite{
		fakeSite: site,
		old:      [2]*fakeNode{site.addNodeWithProtocol("old1", 1), site.addNodeWithProtocol("old2", 1)},
		fresh:    [2]*fakeNode{site.addNodeWithProtocol("new1", 2), site.addNodeWithProtocol("new2", 2)},
	}
}

// requireOutput submits s at node and checks the output.
func requireOutput(t *testing.T, node *fakeNode, s *request.Spec, output string) {
	t.Helper()
	a, err := node.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: *s})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 0)
	require.Equal(t, dispatch.EventDone, got.last.Kind)
	require.Equal(t, output, got.last.Output)
}

func TestMixedSiteRunsRequestsOfBothReleasesOnce(t *testing.T) {
	site := newMixedSite(t)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	for i, release := range [][2]*fakeNode{site.old, site.fresh} {
		s := nonIdempotentSpec(release[0], release[1])
		requireOutput(t, release[1], &s, "held")
		requireOutput(t, release[0], &s, "held")
		require.EqualValues(t, i+1, calls.Load())
	}
}

// A resend reaches a node of the other release, which can't find out whether the request
// runs and must not run it.
func TestRequestOfOtherReleaseIsNotRunTwice(t *testing.T) {
	site := newMixedSite(t)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	s := nonIdempotentSpec(site.old[0], site.old[1])
	for _, node := range site.fresh {
		requireWitnessLost(t, node, &s, false)
	}
	require.Zero(t, calls.Load())
	require.Empty(t, site.reasonsOf("take over"), "no call to a node of the other release was tried")
	requireOutput(t, site.old[0], &s, "held")
	requireWitnessLost(t, site.fresh[0], &s, false)
	require.EqualValues(t, 1, calls.Load())
}

func TestIdempotentRequestOfOtherReleaseIsAnswered(t *testing.T) {
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

func TestStoppingNodeForwardsToItsOwnRelease(t *testing.T) {
	site := newMixedSite(t)
	calls := site.addService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") })
	s := nonIdempotentSpec(site.fresh[0], site.fresh[1])
	site.fresh[0].dispatcher.Drain()
	requireOutput(t, site.fresh[0], &s, "held")
	require.EqualValues(t, 1, calls.Load())
	require.Len(t, site.fresh[1].dispatcher.Records(), 1)

	site.fresh[1].dispatcher.Drain()
	other := nonIdempotentSpec(site.fresh[0], site.fresh[1])
	_, err := site.fresh[0].dispatcher.Submit(t.Context(), dispatch.Submission{Spec: other})
	require.Equal(t, verdict.CodeStopping, verdict.From(err).Code)
	for _, node := range site.old {
		require.Empty(t, node.dispatcher.Records())
		require.Zero(t, node.connections.Load())
	}
}
