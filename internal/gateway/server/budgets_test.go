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

// budgetSimulation simulates nodes whose requests all fail and whose processes are restarted.
type budgetSimulation struct {
	bounds site.Bounds
	clock  *fakeClock
	random *rand.Rand
	nodes  []*retryBudgets
	// knownNodes is how many nodes each node's process knows of.
	knownNodes []int
	// firstSends and retries hold when requests were first sent and when they were retried.
	firstSends, retries []time.Time
}

// newBudgetSimulation returns a simulation of nodes that start for the first time.
func newBudgetSimulation(nodes int, reserve float64) *budgetSimulation {
	s := &budgetSimulation{
		bounds: site.Bounds{RetryShare: 0.2, RetryReserve: reserve, RetryWindow: 10 * time.Second},
		clock:  &fakeClock{time.Unix(1000, 0)},
		random: rand.New(rand.NewPCG(16, 3)),
	}
	for range nodes {
		s.nodes, s.knownNodes = append(s.nodes, nil), append(s.knownNodes, 0)
		s.restart(len(s.nodes)-1, true)
	}
	return s
}

// restart starts a new process of a node; first says whether no process of the site ran before it.
// The process learns how many nodes there are from announceNodes.
func (s *budgetSimulation) restart(node int, first bool) {
	s.knownNodes[node] = 0
	s.nodes[node] = newRetryBudgets(s.bounds, func() int { return s.knownNodes[node] }, func() bool { return first }, s.clock.now, s.random.Uint64)
}

// announceNodes tells all nodes how many there are.
func (s *budgetSimulation) announceNodes() {
	for node, b := range s.nodes {
		s.knownNodes[node] = len(s.nodes)
		b.updateNodeShare()
	}
}

// failRequest sends one request through a node; it fails wherever it is sent.
func (s *budgetSimulation) failRequest(node int) {
	s.nodes[node].Attempt("service")
	s.firstSends = append(s.firstSends, s.clock.at)
	if s.nodes[node].Take("service").Allowed {
		s.retries = append(s.retries, s.clock.at)
	}
}

// tightestWindow returns the number of retries in the window that comes closest to the site's
// bound, and how many are allowed in it.
func (s *budgetSimulation) tightestWindow() (used, allowed float64) {
	bound := historycheck.RetryBound{Window: s.bounds.RetryWindow, Share: s.bounds.RetryShare, Reserve: s.bounds.RetryReserve}
	return bound.FullestWindow(s.firstSends, s.retries)
}

func TestRollingRestartsDoNotRenewRetryReserve(t *testing.T) {
	s := newBudgetSimulation(6, 52)
	s.announceNodes()
	for range 24 {
		for node := range s.nodes {
			s.restart(node, false)
		}
		s.announceNodes()
		for range 4 {
			for node := range s.nodes {
				s.failRequest(node)
			}
			s.clock.at = s.clock.at.Add(125 * time.Millisecond)
		}
	}
	used, allowed := s.tightestWindow()
	require.LessOrEqual(t, used, allowed)
}

func TestSimultaneousStartsDoNotOverclaimRetryReserve(t *testing.T) {
	s := newBudgetSimulation(74, 188)
	for range 3 {
		for node := range s.nodes {
			s.restart(node, false)
		}
		for range 10 {
			for node := range s.nodes {
				s.failRequest(node)
			}
			s.clock.at = s.clock.at.Add(50 * time.Millisecond)
		}
		s.announceNodes()
		s.clock.at = s.clock.at.Add(2 * time.Second)
	}
	used, allowed := s.tightestWindow()
	require.LessOrEqual(t, used, allowed)
}

func TestRandomRestartsStayWithinRetryBudget(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(16)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("random restarts at random times", prop.ForAll(func(seed uint64, nodes, restarts, calls int) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		s := newBudgetSimulation(nodes, 52)
		for range 300 {
			if random.IntN(4) == 0 {
				s.announceNodes()
			}
			for range random.IntN(restarts + 1) {
				s.restart(random.IntN(nodes), false)
			}
			for range random.IntN(calls + 1) {
				s.failRequest(random.IntN(nodes))
			}
			s.clock.at = s.clock.at.Add(100 * time.Millisecond)
		}
		used, allowed := s.tightestWindow()
		return used <= allowed
	}, gen.UInt64(), gen.IntRange(2, 40), gen.IntRange(0, 6), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}

func TestNodesWithFractionalReserveStillRetry(t *testing.T) {
	s := newBudgetSimulation(460, 188)
	s.announceNodes()
	for range 200 {
		for node := range s.nodes {
			if node%4 == 0 {
				s.failRequest(node)
			}
		}
		s.clock.at = s.clock.at.Add(200 * time.Millisecond)
	}
	used, allowed := s.tightestWindow()
	require.LessOrEqual(t, used, allowed)
	share := usableShare * s.bounds.RetryShare * float64(len(s.firstSends))
	require.Greater(t, float64(len(s.retries)), share/2)
}
