package dispatch_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// askWitness calls a method of the witness as a node does.
func askWitness(t *testing.T, wit *fakeNode, method string, req, reply any) {
	t.Helper()
	require.NoError(t, wit.peers.Call(t.Context(), wit.self.PeerAddress, "Witness."+method, req, reply))
}

// A home whose grant is refused does not keep that as the end: a resend finds the result.
func TestHomeWhoseGrantIsRefusedSendsItsCallerOn(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	s := onceSpec(home, wit)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var claim grant.ClaimReply
	askWitness(t, wit, "Claim", &grant.ClaimRequest{ID: s.ID, Holder: other.self.Incarnation, SeenEpoch: 1}, &claim)
	require.True(t, claim.Claimed)
	var granted grant.Reply
	askWitness(t, wit, "Grant", &grant.Request{ID: s.ID, Holder: other.self.Incarnation, Epoch: claim.Record.Epoch}, &granted)
	require.True(t, granted.Granted)
	ended := request.Record{Phase: request.PhaseDone, Output: "held"}
	var updated grant.UpdateReply
	askWitness(t, wit, "Finish", &grant.FinishRequest{ID: s.ID, Holder: other.self.Incarnation, Epoch: claim.Record.Epoch, Record: ended}, &updated)
	require.True(t, updated.Applied)
	calls := site.addService(func(http.ResponseWriter, *http.Request) {})
	var first, second received
	first.follow(t, a, 0)
	require.Equal(t, dispatch.EventMoved, first.last.Kind)
	b, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	second.follow(t, b, 0)
	require.Equal(t, dispatch.EventDone, second.last.Kind)
	require.Equal(t, "held", second.last.Output)
	require.Zero(t, calls.Load())
}

// A home that was granted the request and keeps no result of it is the last that could have told.
func TestGrantTakenByAHomeThatKeepsNoResultIsFinal(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	s := onceSpec(home, wit)
	s.Deadline = time.Now().Add(time.Hour)
	var claim grant.ClaimReply
	askWitness(t, wit, "Claim", &grant.ClaimRequest{ID: s.ID, Holder: home.self.Incarnation, Spec: &s}, &claim)
	var granted grant.Reply
	askWitness(t, wit, "Grant", &grant.Request{ID: s.ID, Holder: home.self.Incarnation, Epoch: claim.Record.Epoch}, &granted)
	require.True(t, granted.Granted)
	for _, node := range []*fakeNode{home, other} {
		_, err := node.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
		refusal := verdict.From(err)
		require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
		require.Equal(t, verdict.CodeGrantTaken, refusal.Code)
		require.Zero(t, refusal.RetryAfter)
	}
}
