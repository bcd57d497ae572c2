package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

var testPlain = site.Service{Name: "engine"}

// send sends a request that fails where fails says so, and repeats it once elsewhere.
func (b *testBalancer) send(t *testing.T, id string, c []site.Upstream, fails func(upstream string) bool) {
	t.Helper()
	tried := make(map[string]bool)
	for range 2 {
		ticket, _ := b.Pick(&site.Request{AttemptID: id}, &PickOptions{Service: testPlain, Candidates: c, Tried: tried})
		require.NotNil(t, ticket)
		tried[ticket.Upstream.ID] = true
		if !fails(ticket.Upstream.ID) {
			ticket.End(Answered)
			return
		}
		ticket.End(Failed)
	}
}

// TestARequestThatFailsEverywhereIsNotHeldAgainstUpstreams guards against sound upstreams being avoided
// because of requests that fail wherever they run.
func TestARequestThatFailsEverywhereIsNotHeldAgainstUpstreams(t *testing.T) {
	b, c := newTestBalancer(), upstreams(4)
	for i := range 40 {
		b.send(t, fmt.Sprint(i), c, func(string) bool { return true })
	}
	for _, s := range b.states {
		require.Zero(t, s.failureRate)
	}
	ticket, _ := b.Pick(&site.Request{AttemptID: "not repeated"}, &PickOptions{Service: testPlain, Candidates: c})
	ticket.End(Failed)
	require.Less(t, ticket.state.failureRate, 0.02, "requests of this service fail by themselves")
}

func TestAnUpstreamThatFailsWhatOthersAnswerIsAvoided(t *testing.T) {
	b, c := newTestBalancer(), upstreams(4)
	for i := range 40 {
		b.send(t, fmt.Sprint(i), c, func(string) bool { return i%10 == 0 })
	}
	bad := c[0].ID
	fails := func(upstream string) bool { return upstream == bad }
	for i := range 40 {
		b.send(t, fmt.Sprint("later-", i), c, fails)
	}
	for id, s := range b.states {
		if id != bad {
			require.Less(t, s.failureRate, b.states[bad].failureRate)
		}
	}
	ticket, _ := b.Pick(&site.Request{AttemptID: "x"}, &PickOptions{Service: testPlain, Candidates: c})
	require.NotEqual(t, bad, ticket.Upstream.ID)
}
