package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWhatAProcessSpentBeforeItWasFirstHeardCounts(t *testing.T) {
	for name, c := range map[string]struct {
		started time.Duration
		counts  bool
	}{"started after the checkpoint": {500 * time.Millisecond, true}, "started before it": {-time.Minute, false}} {
		for _, restoredFirst := range []bool{true, false} {
			s := newNodes(1)
			taken := s.time
			s.time = s.time.Add(time.Second)
			s.restart(0)
			l := s.ledgers[0]
			hear := func() {
				l.Hear("other", "1", taken.Add(c.started), map[string]float64{"w": testUnits})
			}
			if !restoredFirst {
				hear()
			}
			l.Restore(Checkpoint{}, s.time.Sub(taken), Unknown{Any: time.Second})
			if restoredFirst {
				hear()
			}
			require.Equal(t, c.counts, l.Checkpoint(s.time).Spent["w"][0] == testUnits, "%s, restored first %t", name, restoredFirst)
		}
	}
}
