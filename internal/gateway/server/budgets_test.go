package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/historycheck"
)

// budgetSite is nodes whose requests all fail, and whose processes are restarted.
type budgetSite struct {
	bounds site.Bounds
	clock  *guardClock
	random *rand.Rand
	nodes  []*budgets
	// heard is how many nodes the process of each knows of.
	heard []int
	// first and repeats hold when requests came and when they were sent once more.
	first, repeats []time.Time
}

func newBudgetSite(nodes int, reserve float64) *budgetSite {
	s := &budgetSite{
		bounds: site.Bounds{RetryShare: 0.2, RetryReserve: reserve, RetryWindow: 10 * time.Second},
		clock:  &guardClock{time.Unix(1000, 0)},
		random: rand.New(rand.NewPCG(16, 3)),
	}
	for range nodes {
		s.nodes, s.heard = append(s.nodes, nil), append(s.heard, 0)
		s.start(len(s.nodes)-1, true)
	}
	return s
}

// start starts a process of a node anew; it knows the others only after hearing.
func (s *budgetSite) start(node int, first bool) {
	s.heard[node] = 0
	s.nodes[node] = newBudgets(s.bounds, func() int { return s.heard[node] }, func() bool { return first }, s.clock.now, s.random.Uint64)
}

// hear tells all nodes how many there are.
func (s *budgetSite) hear() {
	for node, b := range s.nodes {
		s.heard[node] = len(s.nodes)
		b.divide()
	}
}

// fail has a node get one request that fails wherever it is sent.
func (s *budgetSite) fail(node int) {
	s.nodes[node].Attempt("service")
	s.first = append(s.first, s.clock.at)
	if s.nodes[node].Take("service").Allowed {
		s.repeats = append(s.repeats, s.clock.at)
	}
}

// nearest returns how many repeats the window nearest to the bound of the users' rule
// holds, and how many are allowed there.
func (s *budgetSite) nearest() (held, allowed float64) {
	bound := historycheck.RepeatBound{Window: s.bounds.RetryWindow, Share: s.bounds.RetryShare, Reserve: s.bounds.RetryReserve}
	return bound.Nearest(s.first, s.repeats)
}

func TestRestartsInSeriesDoNotRenewTheReserveOfRepeats(t *testing.T) {
	s := newBudgetSite(6, 52)
	s.hear()
	for range 24 {
		for node := range s.nodes {
			s.start(node, false)
		}
		s.hear()
		for range 4 {
			for node := range s.nodes {
				s.fail(node)
			}
			s.clock.at = s.clock.at.Add(125 * time.Millisecond)
		}
	}
	held, allowed := s.nearest()
	require.LessOrEqual(t, held, allowed)
}

func TestNodesThatStartAtOnceDoNotEachTakeTheReserveOfFew(t *testing.T) {
	s := newBudgetSite(74, 188)
	for range 3 {
		for node := range s.nodes {
			s.start(node, false)
		}
		for range 10 {
			for node := range s.nodes {
				s.fail(node)
			}
			s.clock.at = s.clock.at.Add(50 * time.Millisecond)
		}
		s.hear()
		s.clock.at = s.clock.at.Add(2 * time.Second)
	}
	held, allowed := s.nearest()
	require.LessOrEqual(t, held, allowed)
}

func TestNoSeriesOfRestartsExceedsTheBudgetOfAWindow(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(16)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("restarts of any nodes at any time", prop.ForAll(func(seed uint64, nodes, restarts, calls int) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		s := newBudgetSite(nodes, 52)
		for range 300 {
			if random.IntN(4) == 0 {
				s.hear()
			}
			for range random.IntN(restarts + 1) {
				s.start(random.IntN(nodes), false)
			}
			for range random.IntN(calls + 1) {
				s.fail(random.IntN(nodes))
			}
			s.clock.at = s.clock.at.Add(100 * time.Millisecond)
		}
		held, allowed := s.nearest()
		return held <= allowed
	}, gen.UInt64(), gen.IntRange(2, 40), gen.IntRange(0, 6), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}

func TestNodesWhosePartOfTheReserveIsLessThanOneRepeatAllTheSame(t *testing.T) {
	s := newBudgetSite(460, 188)
	s.hear()
	for range 200 {
		for node := range s.nodes {
			if node%4 == 0 {
				s.fail(node)
			}
		}
		s.clock.at = s.clock.at.Add(200 * time.Millisecond)
	}
	held, allowed := s.nearest()
	require.LessOrEqual(t, held, allowed)
	share := budgetPart * s.bounds.RetryShare * float64(len(s.first))
	require.Greater(t, float64(len(s.repeats)), share/2)
}
