package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

// asking is a controller with one request of a second in a slot and eight that
// have had their turn and look for one.
func asking(t *testing.T) *Controller {
	t.Helper()
	c := NewController(Settings{})
	for i := range 9 {
		_, refusal := c.Admit(start, ask("w", 5, 1, time.Second, 4*time.Second))
		require.Nil(t, refusal)
		ticket, ok := c.Next(start, model)
		require.True(t, ok)
		if i == 0 {
			c.Placed(start, ticket)
		}
	}
	return c
}

// Requests that look for a slot in vain are no sign of capacity: what they will
// take goes before a new request, which is refused when that is too much.
func TestThoseThatLookInVainGoBeforeANewRequest(t *testing.T) {
	c := asking(t)
	now := start.Add(askingTime + time.Millisecond)
	r := ask("w", 5, 1, time.Second, 5*time.Second)
	ticket, refusal := c.Admit(now, r)
	require.Nil(t, ticket)
	require.NotNil(t, refusal, "eight seconds of work for one slot go before it")
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter)

	r.Deadline = now.Add(11 * time.Second)
	_, refusal = c.Admit(now, r)
	require.Nil(t, refusal)
}

// Of those that look for a slot the one that has to start earliest gets it, so
// a request that has less time than they have is not held against them.
func TestThoseThatMayStartLaterDoNotGoBeforeANewRequest(t *testing.T) {
	c := asking(t)
	_, refusal := c.Admit(start.Add(askingTime+time.Millisecond), ask("w", 5, 1, time.Second, 3*time.Second))
	require.Nil(t, refusal)
}

// A burst after a quiet time finds its slots at once, so it is not refused.
func TestThoseThatJustBeganToLookCountAsCapacity(t *testing.T) {
	c := asking(t)
	for range 9 {
		_, refusal := c.Admit(start.Add(askingTime), ask("w", 5, 1, time.Second, 5*time.Second))
		require.Nil(t, refusal)
	}
}

// A ticket has a slot, or looks for one, or neither; each is taken back once.
func TestPlacedAndReleasedAreCountedOnce(t *testing.T) {
	c := asking(t)
	l := c.lane(model)
	looks := l.asking[0]
	c.Placed(start, looks)
	c.Placed(start, looks)
	require.Equal(t, 2, l.inFlight)
	require.Len(t, l.asking, 7)
	c.Release(start, looks)
	c.Placed(start, looks)
	c.Release(start, looks)
	require.Equal(t, 1, l.inFlight)
	for len(l.asking) > 0 {
		c.Release(start, l.asking[0])
	}
	require.InDelta(t, 0, l.byName["w"].askingCost, 0)
	require.Equal(t, 1, l.inFlight)
}
