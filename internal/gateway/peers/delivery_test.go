package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

// simulatedSite is a site whose nodes exchange messages through tables and routes of their own,
// without a network. A message that a relay forwards arrives in the same round.
type simulatedSite struct {
	now    time.Time
	random *rand.Rand
	nodes  []*simulatedNode
	// loss is the fraction of messages that are lost.
	loss float64
	// received counts messages by receiver, crossed all that went to another failure domain.
	received map[string]int
	crossed  int
}

type simulatedNode struct {
	message Message
	table   *Table
	dead    bool
}

func newSimulatedSite(nodes, domains int, forwards func(i int) bool) *simulatedSite {
	s := &simulatedSite{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1)), received: make(map[string]int)}
	for i := range nodes {
		s.nodes = append(s.nodes, &simulatedNode{
			message: Message{Node: fmt.Sprintf("n%03d", i), Incarnation: "1", FailureDomain: fmt.Sprintf("d%d", i%domains), Forwards: forwards(i)},
			table:   NewTable(func() time.Time { return s.now }),
		})
	}
	for _, n := range s.nodes {
		for _, other := range s.nodes {
			n.table.Update(&other.message)
		}
	}
	return s
}

// round lets each live node send one message.
func (s *simulatedSite) round(number uint64) {
	s.now = s.now.Add(Interval(len(s.nodes)))
	for _, sender := range s.nodes {
		if sender.dead {
			continue
		}
		sender.message.Sequence++
		routes := PlanRoutes(sender.message.Node, sender.message.FailureDomain, sender.others(), number)
		for _, to := range s.nodes {
			delivery := routes.To(to.message.Node, Standard)
			if to == sender || delivery.Skip || !s.deliver(sender, to, sender.message) || !delivery.Forward {
				continue
			}
			for _, mate := range s.nodes {
				if mate != to && mate.message.Forwards && mate.message.FailureDomain == to.message.FailureDomain {
					s.deliver(to, mate, sender.message)
				}
			}
		}
	}
}

// deliver passes a message from one node to another, and reports whether it arrived.
func (s *simulatedSite) deliver(from, to *simulatedNode, m Message) bool {
	if from.message.FailureDomain != to.message.FailureDomain {
		s.crossed++
	}
	if to.dead || s.random.Float64() < s.loss {
		return false
	}
	s.received[to.message.Node]++
	to.table.Update(&m)
	return true
}

// others returns the live nodes that a node knows, without itself.
func (n *simulatedNode) others() []*Peer {
	var out []*Peer
	for _, p := range n.table.Alive() {
		if p.Node != n.message.Node {
			out = append(out, p)
		}
	}
	return out
}

// maxAge returns the longest time since a live node was last heard by a live node.
func (s *simulatedSite) maxAge() time.Duration {
	var age time.Duration
	for _, n := range s.nodes {
		if n.dead {
			continue
		}
		for _, p := range n.table.All() {
			if p.Node != n.message.Node && !s.isDead(p.Node) {
				age = max(age, n.table.TimeSinceHeard(p))
			}
		}
	}
	return age
}

func (s *simulatedSite) isDead(node string) bool {
	for _, n := range s.nodes {
		if n.message.Node == node {
			return n.dead
		}
	}
	return false
}

func always(int) bool { return true }

func TestEveryNodeIsReachedEachRound(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("live nodes, with nodes of an older build among them", prop.ForAll(func(nodes, domains, older int) bool {
		s := newSimulatedSite(nodes, domains, func(i int) bool { return i%older != 0 })
		for number := range uint64(2 * minRelays) {
			s.round(number)
			if s.maxAge() != 0 {
				return false
			}
		}
		return true
	}, gen.IntRange(2, 90), gen.IntRange(1, 8), gen.IntRange(2, 30)))
	properties.TestingRun(t)
}

func TestMessagesAcrossDomainsDoNotGrowWithTheNodesThere(t *testing.T) {
	const domains = 5
	for _, nodes := range []int{30, 100, 200} {
		s := newSimulatedSite(nodes, domains, always)
		s.round(0)
		require.Equal(t, nodes*(domains-1), s.crossed, "%d nodes", nodes)
	}
}

func TestFewFastNodesForward(t *testing.T) {
	const nodes, domains = 100, 5
	relays := func(linkMbps func(i int) float64) (used, slow int) {
		s := newSimulatedSite(nodes, domains, always)
		for i, n := range s.nodes {
			n.message.LinkMbps = linkMbps(i)
		}
		s.round(0)
		forwarding := make(map[string]bool)
		for _, sender := range s.nodes {
			for round := range uint64(6) {
				for relay := range PlanRoutes(sender.message.Node, sender.message.FailureDomain, sender.others(), round).relays {
					forwarding[relay] = true
				}
			}
		}
		for _, n := range s.nodes {
			if forwarding[n.message.Node] && n.message.LinkMbps < relayLinkMbps {
				slow++
			}
		}
		return len(forwarding), slow
	}
	fast, slow := relays(func(i int) float64 {
		if i < minRelays*domains {
			return 200
		}
		return 20
	})
	require.Equal(t, minRelays*domains, fast)
	require.Zero(t, slow)
	spread, _ := relays(func(int) float64 { return 20 })
	require.Greater(t, spread, nodes/2, "without fast links many nodes share the work")
}

func TestSmallSiteSendsDirectly(t *testing.T) {
	s := newSimulatedSite(maxDirectNodes, 3, always)
	s.round(0)
	for node, n := range s.received {
		require.Equal(t, maxDirectNodes-1, n, node)
	}
}

// TestKnowledgeStaysRecentWhileRelaysDie ends a third of the nodes at once, all of one domain
// among them, while messages are lost.
func TestKnowledgeStaysRecentWhileRelaysDie(t *testing.T) {
	const nodes, domains = 100, 5
	s := newSimulatedSite(nodes, domains, always)
	s.loss = 0.01
	for number := range uint64(10) {
		s.round(number)
	}
	for i, n := range s.nodes {
		n.dead = i%domains == 0 || i%6 == 1
	}
	for number := range uint64(12) {
		s.round(10 + number)
		require.LessOrEqual(t, s.maxAge(), aliveIntervals*PropagationInterval(nodes), "a live node is taken for dead")
	}
	s.loss = 0
	s.round(100)
	require.Zero(t, s.maxAge(), "dead nodes are still relays")
}
