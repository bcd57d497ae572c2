package balance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

// testBalancer is a balancer whose clock the test sets.
type testBalancer struct {
	*Balancer
	time time.Time
}

func newTestBalancer() *testBalancer {
	b := &testBalancer{time: time.Unix(1000, 0)}
	b.Balancer = New("a", MaxParts(0), func() time.Time { return b.time }, rand.New(rand.NewPCG(1, 1)).Float64)
	return b
}

var testEngine = site.Service{Name: "engine", Engine: &site.Engine{Slots: 8, CacheTokens: 100_000}}

func upstreams(n int) []site.Upstream {
	var out []site.Upstream
	for i := range n {
		out = append(out, site.Upstream{
			ID: fmt.Sprintf("i-%d", i), Service: "engine", FailureDomain: "a", Slots: 8,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), StartedAt: time.UnixMilli(1),
		})
	}
	return out
}

func prompt(session string, own int) *site.Request {
	parts := []site.PromptPart{{ID: "common", Tokens: 2000}, {ID: session, Tokens: 3000}, {ID: "own", Tokens: own}}
	return &site.Request{PromptTokens: 5000 + own, HasTokens: true, Prompt: parts}
}

func (b *testBalancer) pick(t *testing.T, r *site.Request, c []site.Upstream) *Ticket {
	t.Helper()
	ticket, _ := b.Pick(r, &PickOptions{Service: testEngine, Candidates: c})
	require.NotNil(t, ticket)
	return ticket
}

func TestRequestsWithASharedPartGoToOneUpstreamFromAnyNode(t *testing.T) {
	c := upstreams(9)
	for session := range 50 {
		r := prompt(fmt.Sprintf("session-%d", session), 1000)
		one, two := newTestBalancer().pick(t, r, c), newTestBalancer().pick(t, r, c)
		require.Equal(t, one.Upstream.ID, two.Upstream.ID)
		require.Equal(t, 1000, one.UncachedTokens)
	}
}

func TestALongQueueDivertsRequests(t *testing.T) {
	b, c := newTestBalancer(), upstreams(3)
	preferred := b.pick(t, prompt("s", 1000), c).Upstream.ID
	for range 20 {
		if b.pick(t, prompt("s", 1000), c).Upstream.ID != preferred {
			return
		}
	}
	t.Fatal("all requests were sent to one upstream")
}

func TestLoadFromOtherNodesCounts(t *testing.T) {
	b, c := newTestBalancer(), upstreams(3)
	r := prompt("s", 1000)
	preferred := b.pick(t, r, c)
	preferred.End(Answered)
	b.SetPeerLoads(map[uint32]Outstanding{UpstreamHash(preferred.Upstream.ID): {Requests: 4, PrefillTokens: 40_000}}, Figures{})
	require.NotEqual(t, preferred.Upstream.ID, b.pick(t, r, c).Upstream.ID)
}

func TestAFailingUpstreamIsAvoidedAndRetriedLater(t *testing.T) {
	for name, outcome := range map[string]Outcome{"failed": Failed, "unreachable": Unreachable, "rejected": Rejected} {
		b, c := newTestBalancer(), upstreams(2)
		r := prompt("s", 1000)
		preferred := b.pick(t, r, c)
		preferred.End(outcome)
		require.NotEqual(t, preferred.Upstream.ID, b.pick(t, r, c).Upstream.ID, name)
		b.time = b.time.Add(30 * time.Second)
		// Drop the open tickets, so that only the outcome affects the next choice.
		for _, s := range b.states {
			for ticket := range s.openTickets {
				ticket.state.openTickets = map[*Ticket]struct{}{}
				s.pendingPrefill = 0
			}
		}
		require.Equal(t, preferred.Upstream.ID, b.pick(t, r, c).Upstream.ID, name)
	}
}

func TestAnUpstreamWithAnOverdueAnswerCostsMore(t *testing.T) {
	b, c := newTestBalancer(), upstreams(2)
	r := prompt("s", 1000)
	preferred := b.pick(t, r, c)
	b.time = b.time.Add(3 * time.Second)
	require.NotEqual(t, preferred.Upstream.ID, b.pick(t, r, c).Upstream.ID)
}

func TestPickWithoutAvailableUpstreamReturnsTheRetryTime(t *testing.T) {
	b, c := newTestBalancer(), upstreams(1)
	b.pick(t, prompt("s", 10), c).End(Rejected)
	ticket, pause := b.Pick(prompt("s", 10), &PickOptions{Service: testEngine, Candidates: c})
	require.Nil(t, ticket)
	require.Equal(t, rejectedBackoff, pause)
	ticket, pause = b.Pick(prompt("s", 10), &PickOptions{Service: testEngine, Candidates: c, Tried: map[string]bool{"i-0": true}})
	require.Nil(t, ticket)
	require.Zero(t, pause)
}

func TestARestartedUpstreamBeginsWithFreshState(t *testing.T) {
	b, c := newTestBalancer(), upstreams(1)
	old := b.pick(t, prompt("s", 1000), c)
	c[0].StartedAt = time.UnixMilli(2)
	b.pick(t, prompt("s", 1000), c)
	require.Len(t, b.states["i-0"].openTickets, 1)
	old.End(Answered) // belongs to the previous process, so it changes nothing
	require.Len(t, b.states["i-0"].openTickets, 1)
}
