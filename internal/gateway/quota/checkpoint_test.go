package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestALateRequestAtARestartedNodeIsNotRefusedForUnitsThatLeftTheWindow(t *testing.T) {
	s := newNodes(3)
	s.restart(0)
	s.ledgers[0].Restore(Checkpoint{}, 0, Gap{AtMaxRate: time.Second})
	for range int(4 * testWindow / testInterval) { // two thirds of the quota, at the other nodes
		for _, l := range s.ledgers[1:] {
			require.True(t, l.Take("w", testLimit, testLimit.Rate*testInterval.Seconds()/3).Allowed)
		}
		s.step()
	}
	require.True(t, s.ledgers[0].Take("w", testLimit, testUnits).Allowed)
}

func TestACheckpointOfAProcessWithoutRequestsIncludesWhatItRestored(t *testing.T) {
	s := newNodes(2)
	for range int(testWindow / testInterval) {
		s.ask(1, testUnits)
		s.step()
	}
	checkpoint, taken := s.ledgers[0].Checkpoint(s.time), s.time
	s.time = s.time.Add(time.Second)
	s.restart(0)
	s.ledgers[0].Restore(checkpoint, s.time.Sub(taken), Gap{AtMaxRate: s.time.Sub(taken)})
	sum := func(c Checkpoint) (units float64) {
		for _, x := range c.Spent["w"] {
			units += x
		}
		return units
	}
	before, after := sum(checkpoint), sum(s.ledgers[0].Checkpoint(s.time))
	require.Positive(t, before)
	require.GreaterOrEqual(t, after, before*6/8, "only a second and a slot have left the window")
}

func TestSpendingBeforeTheFirstReportOfAProcessCounts(t *testing.T) {
	for name, c := range map[string]struct {
		started time.Duration
		counts  bool
	}{"started after the checkpoint": {500 * time.Millisecond, true}, "started before it": {-time.Minute, false}} {
		for _, restoreFirst := range []bool{true, false} {
			s := newNodes(1)
			taken := s.time
			s.time = s.time.Add(time.Second)
			s.restart(0)
			l := s.ledgers[0]
			hear := func() {
				l.RecordPeer("other", "1", taken.Add(c.started), map[string]float64{"w": testUnits})
			}
			if !restoreFirst {
				hear()
			}
			l.Restore(Checkpoint{}, s.time.Sub(taken), Gap{AtMaxRate: time.Second})
			if restoreFirst {
				hear()
			}
			require.Equal(t, c.counts, l.Checkpoint(s.time).Spent["w"][0] == testUnits, "%s, restored before the first report: %t", name, restoreFirst)
		}
	}
}
