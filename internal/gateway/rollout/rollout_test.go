package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// badAnswers turns a third of the new version's answers bad where the condition holds.
func badAnswers(s **simulation, slow bool, where func(route string, after time.Duration, perUpstream float64) bool) func(string, string, time.Duration, float64) answer {
	return func(version, route string, after time.Duration, perUpstream float64) answer {
		out := (*s).sound(perUpstream)
		if version != "v2" || !where(route, after, perUpstream) || (*s).random.Float64() > 0.33 {
			return out
		}
		if slow {
			out.latency *= 5
		} else {
			out.failed = true
		}
		return out
	}
}

func TestFaultyVersionIsRolledBackAndKeepsItsExposure(t *testing.T) {
	always := func(string, time.Duration, float64) bool { return true }
	later := func(_ string, after time.Duration, _ float64) bool { return after > 9*time.Second }
	oneRoute := func(route string, _ time.Duration, _ float64) bool { return route == "r2" }
	loaded := func(_ string, _ time.Duration, perUpstream float64) bool { return perUpstream > 20 }
	for name, c := range map[string]struct {
		slow  bool
		where func(string, time.Duration, float64) bool
	}{
		"fails at once": {false, always}, "fails later": {false, later}, "fails on one route": {false, oneRoute}, "fails under load": {false, loaded},
		"slow at once": {true, always}, "slow later": {true, later}, "slow on one route": {true, oneRoute}, "slow under load": {true, loaded},
	} {
		t.Run(name, func(t *testing.T) {
			var s *simulation
			s = newSimulation(t, badAnswers(&s, c.slow, c.where))
			s.run(20*time.Second, nil)
			require.Equal(t, RolledBack, s.order.State)
			require.LessOrEqual(t, float64(s.toNew), simShare*float64(s.total)+simSlack)
			require.Zero(t, s.afterVerdict)
		})
	}
}

func TestVersionThatAnswersAsTheOldOneIsCompleted(t *testing.T) {
	for seed := range uint64(6) {
		var s *simulation
		s = newSimulation(t, func(_, _ string, _ time.Duration, perUpstream float64) answer {
			out := s.sound(perUpstream)
			// Failures that both versions share, such as those of a service behind them.
			out.failed = out.failed || s.random.Float64() < 0.3
			return out
		})
		s.random.Seed(seed)
		var completed time.Duration
		s.run(20*time.Second, func(after time.Duration) {
			if s.order.State == Completed && completed == 0 {
				completed = after
			}
		})
		require.Equal(t, Completed, s.order.State, "seed %d", seed)
		require.Less(t, completed, 18*time.Second)
	}
}

func TestVersionWithTooFewAnswersIsRolledBack(t *testing.T) {
	var s *simulation
	s = newSimulation(t, func(_, _ string, _ time.Duration, perUpstream float64) answer { return s.sound(perUpstream) })
	s.rate = 0.2
	s.run(20*time.Second, nil)
	require.Equal(t, RolledBack, s.order.State)
}

func TestOrderEndsWhenItsHolderDiesAtAnyStep(t *testing.T) {
	for _, bad := range []bool{false, true} {
		for _, at := range []State{InProgress, Completed, RolledBack} {
			for _, written := range []bool{false, true} {
				var s *simulation
				s = newSimulation(t, badAnswers(&s, false, func(string, time.Duration, float64) bool { return bad }))
				var died time.Duration
				s.beforeWrite = func(state State) bool {
					if state != at || len(s.dead) > 0 {
						return true
					}
					s.dead[s.holder] = true
					died = s.now.Sub(s.start)
					return written // before the write, or between the write and its answer
				}
				s.run(20*time.Second, func(after time.Duration) {
					if s.dead[s.holder] && after > died+2*time.Second {
						s.succeed(s.holder + 1)
					}
				})
				want := Completed
				if bad {
					want = RolledBack
				}
				require.Equal(t, want, s.order.State, "died writing %s, written: %v", at, written)
			}
		}
	}
}

func TestHolderDiesWhileRequestsMove(t *testing.T) {
	var s *simulation
	s = newSimulation(t, func(_, _ string, _ time.Duration, perUpstream float64) answer { return s.sound(perUpstream) })
	s.run(20*time.Second, func(after time.Duration) {
		if after > 13500*time.Millisecond && s.holder == 0 {
			require.Equal(t, phaseMove, s.nodes[1].trials["s"].phase())
			s.dead[0] = true
			s.succeed(1)
		}
	})
	require.Equal(t, Completed, s.order.State)
}

func TestLateWriteOfAnEarlierHolderFails(t *testing.T) {
	var s *simulation
	s = newSimulation(t, func(_, _ string, _ time.Duration, perUpstream float64) answer { return s.sound(perUpstream) })
	s.run(2*time.Second, nil)
	seen := s.object() // what the holder's write, still on its way, is conditional on
	s.succeed(1)
	s.run(3*time.Second, nil)
	require.Error(t, s.write(seen, Completed, 1))
	require.Equal(t, InProgress, s.order.State)
	require.Equal(t, uint64(2), s.order.Fence)
}

func TestLostAnswersOfWritesAreSettled(t *testing.T) {
	var s *simulation
	s = newSimulation(t, func(_, _ string, _ time.Duration, perUpstream float64) answer { return s.sound(perUpstream) })
	s.afterWrite = func(State) bool { return false }
	s.run(20*time.Second, nil)
	require.Equal(t, []State{InProgress, Completed}, s.writes, "each is written once")
}

func TestStoreDownEndsNoBadVersionsExclusion(t *testing.T) {
	var s *simulation
	s = newSimulation(t, badAnswers(&s, false, func(string, time.Duration, float64) bool { return true }))
	s.beforeWrite = func(State) bool { return false }
	at := 0
	s.run(30*time.Second, func(after time.Duration) {
		if after < 10*time.Second {
			at = s.toNew
		}
	})
	require.Equal(t, Ordered, s.order.State)
	require.Equal(t, at, s.toNew, "requests to the bad version after its verdict")
	s.beforeWrite = func(State) bool { return true }
	s.run(32*time.Second, nil)
	require.Equal(t, RolledBack, s.order.State)
}

func TestNodesThatAreCutOffKeepTheExposure(t *testing.T) {
	var s *simulation
	s = newSimulation(t, func(_, _ string, _ time.Duration, perUpstream float64) answer { return s.sound(perUpstream) })
	s.run(time.Second, nil)
	for i := range s.nodes {
		s.cutOff[i] = true
	}
	s.run(40*time.Second, nil)
	require.LessOrEqual(t, float64(s.toNew), simShare*float64(s.total)+simSlack)
	require.Greater(t, float64(s.toNew), simShare*float64(s.total)/2)
}

func TestCrashOfOneNewUpstreamConvictsNoVersion(t *testing.T) {
	var s *simulation
	s = newSimulation(t, func(_, _ string, _ time.Duration, perUpstream float64) answer { return s.sound(perUpstream) })
	s.run(5*time.Second, nil)
	for range 20 { // lost at once
		s.nodes[0].Observe(&Observation{Service: "s", Route: "r1", Upstream: s.list[1], Ended: true, Failed: true})
	}
	s.run(20*time.Second, nil)
	require.Equal(t, Completed, s.order.State)
}

func TestSlowStartOfNewUpstreamsConvictsNoVersion(t *testing.T) {
	var s *simulation
	s = newSimulation(t, func(version, _ string, after time.Duration, perUpstream float64) answer {
		out := s.sound(perUpstream)
		if version == "v2" && after < 3*time.Second {
			out.latency *= 6
		}
		return out
	})
	for i := range s.list {
		s.list[i].ColdFor = 3 * time.Second
	}
	s.run(20*time.Second, nil)
	require.Equal(t, Completed, s.order.State)
}

// versions returns the versions that a node's request may be sent to.
func versions(r *Rollouts, list []site.Upstream) map[string]bool {
	out := make(map[string]bool)
	for _, u := range r.Choose("s", "r").Candidates(list, false) {
		out[u.Version] = true
	}
	return out
}

func TestEndedOrderExcludesTheOtherVersionUntilTheNextOrder(t *testing.T) {
	s := newSimulation(t, nil)
	n := s.nodes[0]
	s.order.State, s.entry = RolledBack, 2
	s.publish()
	require.Equal(t, map[string]bool{"v1": true}, versions(n, s.list))
	s.order = Order{Service: "s", Target: "v3", Duration: time.Minute, Created: 1}
	s.entry = 3
	s.publish()
	require.Equal(t, map[string]bool{"v1": true}, versions(n, s.list), "the version rolled back before stays out")
	s.order.State, s.order.Target, s.entry = Completed, "v2", 4
	s.publish()
	require.Equal(t, map[string]bool{"v2": true}, versions(n, s.list))
	n.Remove(s.object())
	require.Equal(t, map[string]bool{"v2": true}, versions(n, s.list))
	require.Equal(t, map[string]bool{"v1": true}, versions(n, s.list[:1]), "rather the version before than none")
}

func TestOrderKeepsItsEndWhenTheStoreForgetsIt(t *testing.T) {
	s := newSimulation(t, nil)
	n := s.nodes[0]
	s.order.State, s.entry = Completed, 2
	s.publish()
	s.order.State, s.entry = InProgress, 3
	s.publish()
	require.Equal(t, map[string]bool{"v2": true}, versions(n, s.list))
	d := n.Duties()
	require.Len(t, d, 1)
	require.Equal(t, Complete, Decide(&d[0].Progress))
}

func TestNoOrderLeavesAllUpstreams(t *testing.T) {
	s := newSimulation(t, nil)
	var none *Rollouts
	require.Equal(t, s.list, none.Choose("s", "r").Candidates(s.list, false))
	require.Equal(t, s.list, s.newNode().Choose("s", "r").Candidates(s.list, false))
	require.True(t, none.Allows(&s.list[1]))
}

func TestReportsOfManyOrdersFitIntoADatagram(t *testing.T) {
	s := newSimulation(t, nil)
	n := s.newNode()
	for i := range 100 {
		order := Order{Service: fmt.Sprint("s", i), Target: "v2", Duration: time.Minute}
		n.put(order, objects.Object{Metadata: objects.Metadata{Name: order.Service, ResourceVersion: objects.VersionOf(1, uint64(i+1))}})
		for group := range routeGroups {
			full := Counts{Answers: 1e6, Failures: 1e6, Latencies: make([]uint32, latencyBuckets)}
			for bucket := range full.Latencies {
				full.Latencies[bucket] = 1e6
			}
			n.trials[order.Service].own[group] = Pair{Old: full, New: full}
		}
	}
	data, err := msgpack.Marshal(n.Reports())
	require.NoError(t, err)
	require.Less(t, len(data), 10<<10)
}
