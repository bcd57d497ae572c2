package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

func TestOutlookCountsWhatOvertakes(t *testing.T) {
	alone := outlook{speed: 2}
	require.InDelta(t, 3, alone.wait(6), 1e-9)
	require.InDelta(t, 0, alone.wait(0), 1e-9)

	overtaken := outlook{speed: 2, streams: []stream{{rate: 1, until: 4}}}
	require.InDelta(t, 3, overtaken.wait(3), 1e-9, "served at half the speed")
	require.InDelta(t, 5, overtaken.wait(6), 1e-9, "half the speed for 4 s, then the whole")

	starved := outlook{speed: 2, streams: []stream{{rate: 3, until: 2}, {rate: 1, until: 6}}}
	require.InDelta(t, 7, starved.wait(2), 1e-9, "6 s of cost after 2 s, 2 s of cost after 6 s")

	never := outlook{speed: 1, streams: []stream{{rate: 2, until: 1000}}}
	require.InDelta(t, maxWait.Seconds(), never.wait(1), 1e-9)
}

// backlog is a controller whose one slot is always taken and that gets, each
// second of a minute, an urgent request of a second and another workspace's.
func backlog(t *testing.T, other bool) (*Controller, time.Time) {
	t.Helper()
	c := NewController(Settings{})
	now := start
	_, refusal := c.Admit(now, ask("w", 0, 1, time.Second, time.Hour))
	require.Nil(t, refusal)
	running, _ := c.Next(now, model)
	c.Placed(now, running)
	_, refusal = c.Admit(now, ask("w", 0, 1, time.Second, time.Hour))
	require.Nil(t, refusal)
	for range 60 {
		now = now.Add(time.Second)
		urgent := ask("w", 9, 1, time.Second, 2*time.Hour)
		urgent.Kind = "urgent"
		_, refusal = c.Admit(now, urgent)
		require.Nil(t, refusal)
		if other {
			_, refusal = c.Admit(now, ask("other", 5, 1, time.Second, 2*time.Hour))
			require.Nil(t, refusal)
		}
		c.Release(now, running)
		running, _ = c.Next(now, model)
		c.Placed(now, running)
	}
	return c, now
}

// A request that later ones will overtake until its deadline is refused when it
// asks, though hardly anything goes before it then; an urgent one is accepted.
func TestRequestThatWouldBeOvertakenIsRefusedAtOnce(t *testing.T) {
	c, now := backlog(t, false)
	low := ask("w", 0, 1, time.Second, 0)
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
	require.Nil(t, refusal, "nothing overtakes it")
}

// What another workspace brings and has waiting slows a workspace down to its
// share at the least.
func TestSpeedIsTheShareThatOthersLeave(t *testing.T) {
	alone, now := backlog(t, false)
	l := alone.lane(model)
	require.InDelta(t, l.throughput(now), l.speed(now, l.byName["w"]), 1e-9)

	beside, now := backlog(t, true)
	l = beside.lane(model)
	require.InDelta(t, l.throughput(now)/2, l.speed(now, l.byName["w"]), 1e-9, "the other asks for more than its half")

	l.byName["other"].arrivals[0].rate = 0
	l.byName["other"].cost = 1
	require.InDelta(t, l.throughput(now)-0.1, l.speed(now, l.byName["w"]), 1e-9, "the other asks for a tenth")
}
