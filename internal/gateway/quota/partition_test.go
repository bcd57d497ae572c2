package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two of seven nodes, which get two fifths of the requests, are partitioned for 12 s, and another
// one is down for 3.6 s, while a workspace starts to ask for six times its normal use.
func TestAPartitionAndACrashWhileAWorkspaceStartsToExceedItsQuota(t *testing.T) {
	s := newNodes(7)
	start := s.time
	var checkpoint Checkpoint
	var taken time.Time
	down := false
	normal := testLimit.Rate * 5 / 9
	dueUnits := make([]float64, len(s.ledgers))
	for step := range 60 {
		at := s.time.Sub(start)
		partitioned := at >= time.Second && at < 13*time.Second
		s.partitioned[0], s.partitioned[1] = partitioned, partitioned
		if step%5 == 0 {
			checkpoint, taken = s.ledgers[3].Checkpoint(s.time), s.time
		}
		switch {
		case at >= 3300*time.Millisecond && at < 6900*time.Millisecond:
			down, s.partitioned[2] = true, true
		case down:
			down, s.partitioned[2] = false, false
			s.restart(2)
			s.ledgers[2].Restore(checkpoint, s.time.Sub(taken), Gap{AtMaxRate: s.time.Sub(taken)})
		}
		demand := normal
		if at >= 1500*time.Millisecond {
			demand *= 6
		}
		for i, l := range s.ledgers {
			share := 0.6 / 5
			if i < 2 {
				share = 0.2
			}
			if i == 2 && down {
				continue
			}
			for dueUnits[i] += demand * share * testInterval.Seconds(); dueUnits[i] > 0; dueUnits[i] -= testUnits {
				if l.Take("w", testLimit, testUnits).Allowed {
					s.spent = append(s.spent, spending{s.time, testUnits})
				}
			}
		}
		s.step()
	}
	limit := testLimit.Rate*testWindow.Seconds() + testLimit.Burst
	t.Logf("the fullest window holds %.2f of the window limit", s.worst()/limit)
	require.LessOrEqual(t, s.worst(), allowedWithin())
}
