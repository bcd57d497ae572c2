package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAWorkspaceThatComesLateToARestartedNodeIsNotRefusedForWhatLeftTheWindow(t *testing.T) {
	s := newNodes(3)
	s.restart(0)
	s.ledgers[0].Restore(Checkpoint{}, 0, Unknown{Any: time.Second})
	for range int(4 * testWindow / testInterval) { // two thirds of the quota, at the others
		for _, l := range s.ledgers[1:] {
			require.True(t, l.Take("w", testLimit, testLimit.Rate*testInterval.Seconds()/3).Allowed)
		}
		s.step()
	}
	require.True(t, s.ledgers[0].Take("w", testLimit, testUnits).Allowed)
}
