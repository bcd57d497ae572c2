package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// beginTick is the time step of tests with staggeredNodes.
	beginTick = 20 * time.Millisecond
	// beginDelay is the transit time of a message.
	beginDelay = beginTick
)

// staggeredNodes are nodes that report their spending one after the other instead of all at once.
type staggeredNodes struct {
	*nodes
	tick int
	// inTransit holds messages in transit, by the tick at which they arrive.
	inTransit map[int][]func()
}

func newStaggeredNodes(n int) *staggeredNodes {
	return &staggeredNodes{nodes: newNodes(n), inTransit: make(map[int][]func())}
}

// step advances the time by one tick, at which some nodes report their spending.
func (s *staggeredNodes) step() {
	s.tick++
	s.time = s.time.Add(beginTick)
	for _, arrive := range s.inTransit[s.tick] {
		arrive()
	}
	delete(s.inTransit, s.tick)
	ticksPerInterval := int(s.interval(len(s.ledgers)) / beginTick)
	for i, from := range s.ledgers {
		if s.tick%ticksPerInterval != i*ticksPerInterval/len(s.ledgers) {
			continue
		}
		spent, incarnation, started := from.Spent(), string(rune('0'+s.incarnations[i])), s.started[i]
		arrival := s.tick + int(beginDelay/beginTick)
		s.inTransit[arrival] = append(s.inTransit[arrival], func() {
			for j, to := range s.ledgers {
				if j != i {
					to.RecordPeer(s.names[i], incarnation, started, spent)
				}
			}
		})
	}
}

// take asks for units at a node and reports whether they were allowed.
func (s *staggeredNodes) take(node int, units float64) bool {
	if !s.ledgers[node].Take("w", testLimit, units).Allowed {
		return false
	}
	s.spent = append(s.spent, spending{s.time, units})
	return true
}

// takeAll asks for units three times at each node.
func (s *staggeredNodes) takeAll(units float64) {
	for i := range s.ledgers {
		for range 3 {
			s.take(i, units)
		}
	}
}

func TestAWorkspaceThatBeginsAtAllNodesAtOnceStaysWithinItsQuota(t *testing.T) {
	const units = 1500
	for n, normalUses := range map[int][]time.Duration{
		2: {0, 3 * time.Second}, 6: {0, 3 * time.Second, testWindow}, 40: {0, 3 * time.Second, testWindow}, 74: {0},
	} {
		for _, normalUse := range normalUses {
			t.Run(fmt.Sprintf("%d nodes, normal use for %s", n, normalUse), func(t *testing.T) {
				t.Parallel()
				s := newStaggeredNodes(n)
				dueUnits := 0.0
				for i := 0; i < int(normalUse/beginTick); i++ {
					for dueUnits += testLimit.Rate * beginTick.Seconds() * 5 / 9; dueUnits > 0; dueUnits -= units {
						require.True(t, s.take((i*7)%n, units), "normal use was refused")
					}
					s.step()
				}
				for range int(2 * testWindow / beginTick) {
					s.takeAll(units)
					s.step()
				}
				t.Logf("the fullest window holds %.2f of the allowed units", s.worst()/allowedWithin())
				require.LessOrEqual(t, s.worst(), allowedWithin())
			})
		}
	}
}

// The workspace asks for one and a half times its quota.
func TestAWorkspaceAtFewOfManyNodesGetsItsQuota(t *testing.T) {
	const units = 1500
	for _, c := range []struct{ nodes, used int }{{6, 1}, {6, 6}, {74, 1}, {74, 37}} {
		t.Run(fmt.Sprintf("%d of %d nodes", c.used, c.nodes), func(t *testing.T) {
			t.Parallel()
			s := newStaggeredNodes(c.nodes)
			dueUnits, served := 0.0, 0.0
			for step := range int(3 * testWindow / beginTick) {
				for dueUnits += 1.5 * testLimit.Rate * beginTick.Seconds(); dueUnits > 0; dueUnits -= units {
					if s.take((step*7+int(dueUnits))%c.used, units) && step >= int(2*testWindow/beginTick) {
						served += units
					}
				}
				s.step()
			}
			share := served / (testLimit.Rate * testWindow.Seconds())
			t.Logf("%.2f of the rate was served", share)
			require.GreaterOrEqual(t, share, 0.75)
			require.LessOrEqual(t, s.worst(), allowedWithin())
		})
	}
}

// killAll kills all nodes and restarts them from a checkpoint.
func (s *staggeredNodes) killAll(c Checkpoint, taken time.Time) {
	s.inTransit = make(map[int][]func())
	for i := range s.ledgers {
		s.restart(i)
		age := s.time.Sub(taken)
		s.ledgers[i].Restore(c, age, Gap{AtMaxRate: age})
	}
}

func TestKillingAllNodesAfterAWorkspaceBeginsDoesNotRenewItsQuota(t *testing.T) {
	const units = 1500
	for _, n := range []int{2, 6, 16} {
		for _, after := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d nodes, after %s", n, after), func(t *testing.T) {
				t.Parallel()
				s := newStaggeredNodes(n)
				for range int(time.Second / beginTick) {
					s.step()
				}
				checkpoint, taken := s.ledgers[0].Checkpoint(s.time), s.time
				for range 2 { // the node that writes checkpoints is killed too, so no newer one is written
					for range int(after / beginTick) {
						s.takeAll(units)
						s.step()
					}
					s.killAll(checkpoint, taken)
				}
				for range int(testWindow / beginTick) {
					s.takeAll(units)
					s.step()
				}
				t.Logf("the fullest window holds %.2f of the allowed units", s.worst()/allowedWithin())
				require.LessOrEqual(t, s.worst(), allowedWithin())
			})
		}
	}
}
