package membership

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoledge.example/mangoledge/internal/ident"
)

// testTimeout bounds how long tests wait for a condition.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fastTiming shortens the default timing for tests on real sockets.
func fastTiming() Timing {
	timing := DefaultTiming()
	timing.TickInterval = 20 * time.Millisecond
	timing.ProbeInterval = 50 * time.Millisecond
	timing.DirectTimeout = 100 * time.Millisecond
	timing.ProbeTimeout = 300 * time.Millisecond
	timing.GossipInterval = 40 * time.Millisecond
	timing.SuspicionTimeout = time.Second
	timing.SyncInterval = 200 * time.Millisecond
	timing.RejoinInterval = 200 * time.Millisecond
	return timing
}

// startCluster starts count members on loopback; the first is the seed of the others.
func startCluster(t *testing.T, count int) []*Cluster {
	t.Helper()
	return startClusterOf(t, make([]Protocol, count)...)
}

// startClusterOf starts one member per protocol on loopback; 0 means the current protocol.
func startClusterOf(t *testing.T, protocols ...Protocol) []*Cluster {
	t.Helper()
	count := len(protocols)
	var clusters []*Cluster
	var seed string
	for i, protocol := range protocols {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		node := ident.Node(fmt.Sprintf("n%d", i))
		self := Member{
			Incarnation:   ident.NewIncarnation(node, time.Now()),
			Node:          node,
			Region:        "r1",
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%3)),
			PeerAddress:   conn.LocalAddr().String(),
			Protocol:      protocol,
		}
		if seed == "" {
			seed = self.PeerAddress
		}
		c := New(Options{Self: self, Seeds: []string{seed}, Conn: conn, Token: "secret", Timing: fastTiming()})
		c.Start(t.Context())
		t.Cleanup(c.Stop)
		clusters = append(clusters, c)
	}
	for _, c := range clusters {
		eventually(t, func() bool { return usableCount(c) == count })
	}
	return clusters
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, 5*time.Millisecond)
}

func usableCount(c *Cluster) int {
	count := 0
	for _, m := range c.Members() {
		if m.State.Usable() {
			count++
		}
	}
	return count
}

func stateSeenBy(c *Cluster, other *Cluster) State {
	m, ok := c.Lookup(other.Self().Incarnation)
	if !ok {
		return 0
	}
	return m.State
}

func TestLeavingAndCrashedMembersAreDistinguished(t *testing.T) {
	clusters := startCluster(t, 5)
	leaver, crashed, rest := clusters[4], clusters[3], clusters[:3]
	successor := rest[1].Self().Incarnation
	leaver.SetLeaving()
	for _, c := range rest {
		eventually(t, func() bool { return stateSeenBy(c, leaver) == StateLeaving })
	}
	require.NoError(t, leaver.Leave(t.Context(), successor))
	require.ErrorIs(t, leaver.SetSuccessor(rest[2].Self().Incarnation), ErrSuccessorNamed)
	crashed.Stop()
	for _, c := range rest {
		eventually(t, func() bool { return stateSeenBy(c, leaver) == StateLeft && stateSeenBy(c, crashed) == StateDead })
		m, _ := c.Lookup(leaver.Self().Incarnation)
		require.Equal(t, successor, m.Successor)
	}
}

func TestRumourReachesEveryMemberAndLateSubscribers(t *testing.T) {
	clusters := startCluster(t, 4)
	got := make(chan Rumour, 16)
	clusters[1].Subscribe(TopicPoison, func(r Rumour) { got <- r })
	require.NoError(t, clusters[0].Publish(TopicPoison, "k", 2, []byte("two")))
	require.NoError(t, clusters[0].Publish(TopicPoison, "k", 1, []byte("one")))
	require.Equal(t, "two", string((<-got).Payload))
	late := make(chan Rumour, 1)
	clusters[0].Subscribe(TopicPoison, func(r Rumour) { late <- r })
	require.Equal(t, uint64(2), (<-late).Version)
	require.ErrorIs(t, clusters[0].Publish(TopicPoison, "", 1, nil), ErrRumourTooLarge)
}

func TestDatagramsWithOtherTokenAreRejected(t *testing.T) {
	clusters := startCluster(t, 1)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	stranger := New(Options{
		Self:  Member{Incarnation: ident.NewIncarnation("x", time.Now()), PeerAddress: conn.LocalAddr().String()},
		Seeds: []string{clusters[0].Self().PeerAddress}, Conn: conn, Token: "other", Timing: fastTiming(),
	})
	stranger.Start(t.Context())
	t.Cleanup(stranger.Stop)
	eventually(t, func() bool { return clusters[0].Stats().Rejected > 3 })
	require.Len(t, clusters[0].Members(), 1)
	require.Len(t, stranger.Members(), 1)
}
