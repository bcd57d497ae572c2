package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// learn gives the balancer timings of upstreams with speeds by index, as other nodes report them.
func (b *testBalancer) learn(c []site.Upstream, speeds []float64, rounds int) {
	random := rand.New(rand.NewPCG(5, 5))
	for range rounds {
		b.time = b.time.Add(100 * time.Millisecond)
		var list []profile.Timing
		for i, u := range c {
			tokens := 500 + random.IntN(3000)
			work := baseLatency + time.Duration(float64(tokens)/prefillRate*float64(time.Second))
			took := time.Duration(float64(work)/speeds[i]) + time.Duration(random.IntN(20))*time.Millisecond
			list = append(list, profile.NewTiming(b.stateOf(u, b.time).speedKey, tokens, 0, 0, took))
		}
		b.RecordTimings(list)
	}
}

func unevenSpeeds(n int) (out []float64) {
	for i := range n {
		out = append(out, []float64{0.6, 1, 1.6}[i%3])
	}
	return out
}

func TestFasterUpstreamsHoldMoreSessions(t *testing.T) {
	b, c := newTestBalancer(), upstreams(30)
	b.pick(t, unshared(10), c).End(Answered)
	speeds := unevenSpeeds(30)
	b.learn(c, speeds, 60)
	sessions := make(map[string]int)
	const keys = 6000
	for i := range keys {
		sessions[b.preferredUpstream(prompt(fmt.Sprint(i), 500), c, b.time)]++
	}
	byKind := make(map[float64]int)
	for i, u := range c {
		byKind[speeds[i]] += sessions[u.ID]
	}
	for speed, n := range byKind {
		require.InEpsilon(t, speed/3.2, float64(n)/keys, 0.25, "speed %g", speed)
	}
}

func TestATimingOfAnEarlierStartIsNotHeldAgainstTheUpstream(t *testing.T) {
	b, c := newTestBalancer(), upstreams(6)
	b.pick(t, unshared(10), c).End(Answered)
	key := b.states[c[5].ID].speedKey
	b.learn(c, []float64{1, 1, 1, 1, 1, 0.3}, 40)
	require.Less(t, b.states[c[5].ID].speed.Speed(), 0.6)
	c[5].StartedAt = c[5].StartedAt.Add(time.Second)
	b.pick(t, unshared(10), c).End(Answered)
	require.InDelta(t, 1, b.states[c[5].ID].speed.Speed(), 0)
	for range 40 {
		b.RecordTimings([]profile.Timing{profile.NewTiming(key, 1000, 0, 0, 2*time.Second)})
	}
	require.InDelta(t, 1, b.states[c[5].ID].speed.Speed(), 0)
	b.PruneStates(nil)
	for _, s := range b.states {
		require.NotEmpty(t, s.openTickets)
	}
	require.Len(t, b.speeds.byKey, len(b.states), "nothing is kept of upstreams that are gone")
}

func TestARequestBeyondTheSlotsTellsNothingOfTheSpeed(t *testing.T) {
	b, c := newTestBalancer(), upstreams(1)
	b.SetPeerLoads(map[uint32]Outstanding{UpstreamHash(c[0].ID): {Requests: c[0].Slots}}, Figures{})
	ticket := b.pick(t, unshared(1000), c)
	b.time = b.time.Add(5 * time.Second)
	ticket.RecordFirstEvent()
	_, total := b.LatestTimings()
	require.Zero(t, total)
}

func TestASpeedChangeIsReportedOnce(t *testing.T) {
	b, c := newTestBalancer(), upstreams(9)
	b.pick(t, unshared(10), c).End(Answered)
	b.learn(c, []float64{1, 1, 1, 1, 1, 1, 1, 1, 0.3}, 40)
	changes := b.SpeedChanges()
	require.Len(t, changes, 1)
	require.Equal(t, c[8].ID, changes[0].Upstream.ID)
	require.Empty(t, b.SpeedChanges())
	require.Equal(t, 1, b.ServiceSpeeds()["engine"].Slower)
}
