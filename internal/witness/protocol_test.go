package witness

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/verdict"
)

func TestWitnessOfAnotherProtocolIsNotCalledAndIsRetryable(t *testing.T) {
	c := &cluster{members: make(map[ident.Incarnation]membership.Member)}
	home, other := startNode(t, c, "home"), startNode(t, c, "other")
	foreign := other.member
	foreign.Foreign = true
	c.set(foreign)
	id := ident.NewRequestID(home.member.Incarnation, other.member.Incarnation)
	_, err := home.client.Fetch(t.Context(), &grant.FetchRequest{ID: id})
	refusal := verdict.From(err)
	require.Equal(t, verdict.CodeWitnessLost, refusal.Code)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter, "the witness may be reachable later")
	require.ErrorContains(t, err, errOtherProtocol.Error())
}
