package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

// newSearchingController returns a controller with one slot taken and eight dispatched
// requests that search for a slot. Each request costs one second.
func newSearchingController(t *testing.T) *Controller {
	t.Helper()
	c := NewController(Settings{})
	for i := range 9 {
		_, refusal := c.Admit(start, newRequest("w", 5, 1, time.Second, 4*time.Second))
		require.Nil(t, refusal)
		ticket, ok := c.Next(start, model)
		require.True(t, ok)
		if i == 0 {
			c.Placed(start, ticket)
		}
	}
	return c
}

// Requests that fail to get a slot are no evidence of capacity: their cost counts as
// queued ahead of a new request, which is refused if that is too much.
func TestRequestsWithoutSlotCountAheadOfNewRequest(t *testing.T) {
	c := newSearchingController(t)
	now := start.Add(slotSearchGrace + time.Millisecond)
	r := newRequest("w", 5, 1, time.Second, 5*time.Second)
	ticket, refusal := c.Admit(now, r)
	require.Nil(t, ticket)
	require.NotNil(t, refusal, "admitted although eight seconds of work are ahead of it for one slot")
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter)

	r.Deadline = now.Add(11 * time.Second)
	_, refusal = c.Admit(now, r)
	require.Nil(t, refusal)
}

// Among the requests that search for a slot, the one that has to start earliest gets it,
// so they do not count as queued ahead of a request that has less time than they have.
func TestRequestsThatMayStartLaterDoNotCountAhead(t *testing.T) {
	c := newSearchingController(t)
	_, refusal := c.Admit(start.Add(slotSearchGrace+time.Millisecond), newRequest("w", 5, 1, time.Second, 3*time.Second))
	require.Nil(t, refusal)
}

// A burst after an idle period gets its slots at once, so it must not be refused.
func TestRecentSlotSearchesCountAsCapacity(t *testing.T) {
	c := newSearchingController(t)
	for range 9 {
		_, refusal := c.Admit(start.Add(slotSearchGrace), newRequest("w", 5, 1, time.Second, 5*time.Second))
		require.Nil(t, refusal)
	}
}

// A ticket may hold a slot, search for one, or neither; each state is undone only once.
func TestPlacedAndReleasedAreCountedOnce(t *testing.T) {
	c := newSearchingController(t)
	q := c.queue(model)
	ticket := q.searching[0]
	c.Placed(start, ticket)
	c.Placed(start, ticket)
	require.Equal(t, 2, q.inFlight)
	require.Len(t, q.searching, 7)
	c.Release(start, ticket)
	c.Placed(start, ticket)
	c.Release(start, ticket)
	require.Equal(t, 1, q.inFlight)
	for len(q.searching) > 0 {
		c.Release(start, q.searching[0])
	}
	require.InDelta(t, 0, q.flowsByWorkspace["w"].searchCost, 0)
	require.Equal(t, 1, q.inFlight)
}
