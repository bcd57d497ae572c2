package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestACutAndADeathWhileAWorkspaceBeginsToAskForTooMuch plays two of seven nodes cut
// off for 12 s, to which two fifths of the clients go, and one that is dead for 3.6 s.
func TestACutAndADeathWhileAWorkspaceBeginsToAskForTooMuch(t *testing.T) {
	s := newNodes(7)
	start := s.time
	var checkpoint Checkpoint
	var taken time.Time
	dead := false
	usual := testLimit.Rate * 5 / 9
	owed := make([]float64, len(s.ledgers))
	for step := range 60 {
		at := s.time.Sub(start)
		cut := at >= time.Second && at < 13*time.Second
		s.cut[0], s.cut[1] = cut, cut
		if step%5 == 0 {
			checkpoint, taken = s.ledgers[3].Checkpoint(s.time), s.time
		}
		switch {
		case at >= 3300*time.Millisecond && at < 6900*time.Millisecond:
			dead, s.cut[2] = true, true
		case dead:
			dead, s.cut[2] = false, false
			s.restart(2)
			s.ledgers[2].Restore(checkpoint, s.time.Sub(taken), Unknown{Any: s.time.Sub(taken)})
		}
		demand := usual
		if at >= 1500*time.Millisecond {
			demand *= 6
		}
		for i, l := range s.ledgers {
			share := 0.6 / 5
			if i < 2 {
				share = 0.2
			}
			if i == 2 && dead {
				continue
			}
			for owed[i] += demand * share * testInterval.Seconds(); owed[i] > 0; owed[i] -= testUnits {
				if l.Take("w", testLimit, testUnits).Allowed {
					s.spent = append(s.spent, spending{s.time, testUnits})
				}
			}
		}
		s.step()
	}
	bound := testLimit.Rate*testWindow.Seconds() + testLimit.Burst
	t.Logf("%.2f of the bound", s.worst()/bound)
	require.LessOrEqual(t, s.worst(), allowedWithin())
}
