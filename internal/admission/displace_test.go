package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

// later is a time of arrival after which a request with twice the worth is still queued
// behind the requests that arrived at start.
var later = start.Add(2 * densityBoostSteps * agingStep)

// newLoadedController returns a controller in which ten requests that cost one second
// each wait for one slot.
func newLoadedController(t *testing.T) (*Controller, *[]*Ticket) {
	t.Helper()
	shed := new([]*Ticket)
	c := NewController(Settings{OnShed: func(t *Ticket, _ *verdict.Error) { *shed = append(*shed, t) }})
	for range 10 {
		_, refusal := c.Admit(start, newRequest("w", 5, 1, time.Second, time.Minute))
		require.Nil(t, refusal)
	}
	return c, shed
}

// The expected cost of a kind changes slightly with each answer. That must not make a new
// request of the same kind valuable enough to displace one that was already accepted.
func TestDriftingCostEstimateDisplacesNothing(t *testing.T) {
	c, shed := newLoadedController(t)
	_, refusal := c.Admit(later, newRequest("w", 5, 1, 900*time.Millisecond, later.Add(8*time.Second).Sub(start)))
	require.NotNil(t, refusal)
	require.Empty(t, *shed)
	_, refusal = c.Admit(later, newRequest("w", 5, 2, time.Second, later.Add(4*time.Second).Sub(start)))
	require.Nil(t, refusal)
	require.NotEmpty(t, *shed, "a request worth twice as much displaced no other")
}

// Only requests queued ahead of a new request are shed for it; the others do not delay it.
func TestOnlyRequestsAheadAreDisplaced(t *testing.T) {
	c, shed := newLoadedController(t)
	behind, refusal := c.Admit(start, newRequest("w", 0, 0.1, time.Second, time.Hour))
	require.Nil(t, refusal)
	_, refusal = c.Admit(later, newRequest("w", 5, 2, time.Second, later.Add(4*time.Second).Sub(start)))
	require.Nil(t, refusal)
	require.NotEmpty(t, *shed)
	require.NotContains(t, *shed, behind)
}
