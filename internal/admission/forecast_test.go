package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

func TestForecastIncludesOvertakers(t *testing.T) {
	alone := forecast{serviceRate: 2}
	require.InDelta(t, 3, alone.wait(6), 1e-9)
	require.InDelta(t, 0, alone.wait(0), 1e-9)

	overtaken := forecast{serviceRate: 2, overtakers: []overtaker{{rate: 1, until: 4}}}
	require.InDelta(t, 3, overtaken.wait(3), 1e-9, "served at half the rate")
	require.InDelta(t, 5, overtaken.wait(6), 1e-9, "half the rate for 4 s, then the full rate")

	starved := forecast{serviceRate: 2, overtakers: []overtaker{{rate: 3, until: 2}, {rate: 1, until: 6}}}
	require.InDelta(t, 7, starved.wait(2), 1e-9, "6 s of cost after 2 s, 2 s of cost after 6 s")

	never := forecast{serviceRate: 1, overtakers: []overtaker{{rate: 2, until: 1000}}}
	require.InDelta(t, maxForecast.Seconds(), never.wait(1), 1e-9)
}

// newBackloggedController returns a controller whose only slot is always taken. For a
// minute it has received an urgent request that costs one second every second, and
// another workspace's request too if other is set.
func newBackloggedController(t *testing.T, other bool) (*Controller, time.Time) {
	t.Helper()
	c := NewController(Settings{})
	now := start
	_, refusal := c.Admit(now, newRequest("w", 0, 1, time.Second, time.Hour))
	require.Nil(t, refusal)
	running, _ := c.Next(now, model)
	c.Placed(now, running)
	_, refusal = c.Admit(now, newRequest("w", 0, 1, time.Second, time.Hour))
	require.Nil(t, refusal)
	for range 60 {
		now = now.Add(time.Second)
		urgent := newRequest("w", 9, 1, time.Second, 2*time.Hour)
		urgent.Kind = "urgent"
		_, refusal = c.Admit(now, urgent)
		require.Nil(t, refusal)
		if other {
			_, refusal = c.Admit(now, newRequest("other", 5, 1, time.Second, 2*time.Hour))
			require.Nil(t, refusal)
		}
		c.Release(now, running)
		running, _ = c.Next(now, model)
		c.Placed(now, running)
	}
	return c, now
}

// A request that later ones will overtake until its deadline is refused on admission,
// although little is queued ahead of it at that time; an urgent one is accepted.
func TestRequestThatWouldBeOvertakenIsRefusedAtOnce(t *testing.T) {
	c, now := newBackloggedController(t, false)
	low := newRequest("w", 0, 1, time.Second, 0)
	low.Kind = ident.Kind("low")
	low.Deadline = now.Add(8 * time.Second)
	ticket, refusal := c.Admit(now, low)
	require.Nil(t, ticket)
	require.NotNil(t, refusal)
	require.Equal(t, verdict.CodeDeadlineUnlikely, refusal.Code)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter)

	high := *low
	high.Priority = 9
	_, refusal = c.Admit(now, &high)
	require.Nil(t, refusal, "refused although nothing overtakes it")
}

// Demand and waiting requests of another workspace reduce a workspace's service rate,
// but not below its share.
func TestServiceRateIsWhatOthersLeave(t *testing.T) {
	alone, now := newBackloggedController(t, false)
	q := alone.queue(model)
	require.InDelta(t, q.throughput(now), q.serviceRate(now, q.flowsByWorkspace["w"]), 1e-9)

	beside, now := newBackloggedController(t, true)
	q = beside.queue(model)
	require.InDelta(t, q.throughput(now)/2, q.serviceRate(now, q.flowsByWorkspace["w"]), 1e-9, "the other demands more than its half")

	q.flowsByWorkspace["other"].arrivals[0].rate = 0
	q.flowsByWorkspace["other"].waitingCost = 1
	require.InDelta(t, q.throughput(now)-0.1, q.serviceRate(now, q.flowsByWorkspace["w"]), 1e-9, "the other demands a tenth")
}
