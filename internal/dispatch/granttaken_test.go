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

// callWitness calls an RPC method of the witness as a node does.
func callWitness(t *testing.T, wit *fakeNode, method string, req, reply any) {
	t.Helper()
	require.NoError(t, wit.peers.Call(t.Context(), wit.self.PeerAddress, "Witness."+method, req, reply))
}

// A home that is refused the grant releases the request instead of failing it: a resend
// finds the result of the node that has the grant.
func TestRefusedGrantRedirectsCaller(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	s := nonIdempotentSpec(home, wit)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
	require.NoError(t, err)
	var claim grant.ClaimReply
	callWitness(t, wit, "Claim", &grant.ClaimRequest{ID: s.ID, Holder: other.self.Incarnation, SeenEpoch: 1}, &claim)
	require.True(t, claim.Claimed)
	var granted grant.Reply
	callWitness(t, wit, "Grant", &grant.Request{ID: s.ID, Holder: other.self.Incarnation, Epoch: claim.Record.Epoch}, &granted)
	require.True(t, granted.Granted)
	ended := request.Record{Phase: request.PhaseDone, Output: "held"}
	var updated grant.UpdateReply
	callWitness(t, wit, "Finish", &grant.FinishRequest{ID: s.ID, Holder: other.self.Incarnation, Epoch: claim.Record.Epoch, Record: ended}, &updated)
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

// If the home has the grant but no result, no other node can have the result, so the
// refusal is final.
func TestGrantedHomeWithoutResultRefusesFinally(t *testing.T) {
	site := newFakeSite(t)
	home, wit, other := site.addNode("home"), site.addNode("wit"), site.addNode("other")
	s := nonIdempotentSpec(home, wit)
	s.Deadline = time.Now().Add(time.Hour)
	var claim grant.ClaimReply
	callWitness(t, wit, "Claim", &grant.ClaimRequest{ID: s.ID, Holder: home.self.Incarnation, Spec: &s}, &claim)
	var granted grant.Reply
	callWitness(t, wit, "Grant", &grant.Request{ID: s.ID, Holder: home.self.Incarnation, Epoch: claim.Record.Epoch}, &granted)
	require.True(t, granted.Granted)
	for _, node := range []*fakeNode{home, other} {
		_, err := node.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
		refusal := verdict.From(err)
		require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
		require.Equal(t, verdict.CodeGrantTaken, refusal.Code)
		require.Zero(t, refusal.RetryAfter)
	}
}
