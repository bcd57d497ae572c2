package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

// later is when a request that is worth twice as much, and came only then, is
// queued behind those of start.
var later = start.Add(2 * densitySteps * agingStep)

// crowd is a controller in which ten requests of a second wait for one slot.
func crowd(t *testing.T) (*Controller, *[]*Ticket) {
	t.Helper()
	shed := new([]*Ticket)
	c := NewController(Settings{OnShed: func(t *Ticket, _ *verdict.Error) { *shed = append(*shed, t) }})
	for range 10 {
		_, refusal := c.Admit(start, ask("w", 5, 1, time.Second, time.Minute))
		require.Nil(t, refusal)
	}
	return c, shed
}

// The expected cost of a kind moves a little with each answer. That makes a new
// request of the kind worth no more than one that was accepted before.
func TestADriftingEstimateDisplacesNothing(t *testing.T) {
	c, shed := crowd(t)
	_, refusal := c.Admit(later, ask("w", 5, 1, 900*time.Millisecond, later.Add(8*time.Second).Sub(start)))
	require.NotNil(t, refusal)
	require.Empty(t, *shed)
	_, refusal = c.Admit(later, ask("w", 5, 2, time.Second, later.Add(4*time.Second).Sub(start)))
	require.Nil(t, refusal)
	require.NotEmpty(t, *shed, "what is worth twice as much still displaces")
}

// Only what goes before a request is shed for it: the rest does not delay it.
func TestOnlyWhatGoesBeforeIsDisplaced(t *testing.T) {
	c, shed := crowd(t)
	behind, refusal := c.Admit(start, ask("w", 0, 0.1, time.Second, time.Hour))
	require.Nil(t, refusal)
	_, refusal = c.Admit(later, ask("w", 5, 2, time.Second, later.Add(4*time.Second).Sub(start)))
	require.Nil(t, refusal)
	require.NotEmpty(t, *shed)
	require.NotContains(t, *shed, behind)
}
