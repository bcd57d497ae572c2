package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestACheckpointOfAProcessThatWasNotAskedYetHoldsWhatItRestored(t *testing.T) {
	s := newNodes(2)
	for range int(testWindow / testInterval) {
		s.ask(1, testUnits)
		s.step()
	}
	checkpoint, taken := s.ledgers[0].Checkpoint(s.time), s.time
	s.time = s.time.Add(time.Second)
	s.restart(0)
	s.ledgers[0].Restore(checkpoint, s.time.Sub(taken), Unknown{Any: s.time.Sub(taken)})
	sum := func(c Checkpoint) (units float64) {
		for _, x := range c.Spent["w"] {
			units += x
		}
		return units
	}
	before, after := sum(checkpoint), sum(s.ledgers[0].Checkpoint(s.time))
	require.Positive(t, before)
	require.GreaterOrEqual(t, after, before*6/8, "a second and a part of the window are over")
}
