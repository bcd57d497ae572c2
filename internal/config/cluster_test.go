package config

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/relay"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// eventTimeout is the timeout for events that are expected soon.
const eventTimeout = 30 * time.Second

// fixedView is a membership view whose members are set by the test.
type fixedView struct {
	self membership.Member
	all  *memberList
}

// memberList is the list of members that all views of a cluster share.
type memberList struct {
	mu      sync.Mutex
	members []membership.Member
}

func (v fixedView) Self() membership.Member { return v.self }

func (v fixedView) Members() []membership.Member {
	v.all.mu.Lock()
	defer v.all.mu.Unlock()
	return append([]membership.Member(nil), v.all.members...)
}

func (v fixedView) Lookup(incarnation ident.Incarnation) (membership.Member, bool) {
	for _, m := range v.Members() {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return membership.Member{}, false
}

// testNode is the manager of one node and the components that it depends on.
type testNode struct {
	manager *Manager
	relay   *relay.Relay
	store   *objects.Client
	stop    func()
}

// cluster is several nodes that use one simulated platform.
type cluster struct {
	tb       testing.TB
	platform *platform.Server
	url      string
	members  memberList
	nodes    []*testNode
	// inForce is the OnInForce option of nodes that are started after it was set; may be nil.
	inForce func(*Site)
	// window is the Window option of these nodes; 0 for the default.
	window int
	// bytes counts the bytes on all accepted peer connections.
	bytes atomic.Int64
}

// newCluster starts nodes that are spread over a number of failure domains.
func newCluster(tb testing.TB, nodes, domains int) *cluster {
	tb.Helper()
	c := &cluster{tb: tb, platform: platform.NewServer(platform.Options{Seed: 1})}
	server := httptest.NewServer(c.platform)
	tb.Cleanup(server.Close)
	tb.Cleanup(server.CloseClientConnections)
	c.url = server.URL
	for i := range nodes {
		c.start(ident.Node(fmt.Sprintf("n%d", i)), ident.FailureDomain(fmt.Sprintf("d%d", i%domains)))
	}
	return c
}

// start starts a node and adds it to the members that all nodes see.
func (c *cluster) start(node ident.Node, domain ident.FailureDomain) *testNode {
	c.tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.tb, err)
	self := membership.Member{
		Incarnation: ident.NewIncarnation(node, time.Now()), Node: node, Region: "r",
		FailureDomain: domain, PeerAddress: listener.Addr().String(),
	}
	c.members.mu.Lock()
	c.members.members = append(c.members.members, self)
	c.members.mu.Unlock()
	dialer := peer.Dialer{Token: "t"}
	n := &testNode{store: objects.NewClient(objects.Options{
		BaseURL: c.url, Budget: objects.NewBudget(1e6, 1000), CallTimeout: 500 * time.Millisecond,
	})}
	peers := peer.NewClient(dialer)
	n.relay = relay.New(relay.Options{
		Store: n.store, Kinds: []objects.Kind{SiteKind}, View: fixedView{self: self, all: &c.members},
		Peers: peers, Dialer: dialer,
	})
	n.manager = NewManager(ManagerOptions{Store: n.store, Relay: n.relay, OnInForce: c.inForce, Window: c.window})
	server := peer.NewServer(dialer.Token)
	require.NoError(c.tb, n.relay.Register(server))
	go func() { _ = server.Serve(countingListener{listener, &c.bytes}, nil) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.relay.Run(ctx) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		peers.Close()
		n.store.Close()
		_ = listener.Close()
	})
	c.tb.Cleanup(n.stop)
	c.nodes = append(c.nodes, n)
	return n
}

// waitVersion waits until the node has the given version or a later one in force.
func (n *testNode) waitVersion(tb testing.TB, version uint64) {
	tb.Helper()
	deadline := time.Now().Add(eventTimeout)
	for time.Now().Before(deadline) {
		if site := n.manager.Current(); site != nil && site.Version >= version {
			return
		}
		time.Sleep(time.Millisecond)
	}
	tb.Fatalf("version %d did not come into force", version)
}

// setReplicas returns a proposal that sets the replicas of model m1.
func setReplicas(change string, base uint64, replicas int) Proposal {
	return Proposal{Change: ident.Change(change), BaseVersion: base, Edits: []Edit{{
		Table: TableModel, Key: "m1",
		Assignments: []Assignment{{Column: "replicas", Value: fmt.Sprint(replicas)}},
	}}}
}

// propose sends a proposal to the node and returns its outcome.
func (n *testNode) propose(tb testing.TB, p Proposal) Outcome {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	outcome, err := n.manager.Propose(ctx, p)
	require.NoError(tb, err)
	return outcome
}

func TestChangeComesIntoForceOnEveryNodeAndResendingIsIdempotent(t *testing.T) {
	c := newCluster(t, 9, 2)
	first := c.nodes[8].propose(t, setReplicas("c1", 0, 3))
	require.Equal(t, OutcomeAccepted, first.Kind, "%+v", first)
	for _, n := range c.nodes {
		n.waitVersion(t, first.Version)
		require.Equal(t, 3, n.manager.Current().Models[0].Replicas)
	}
	again := c.nodes[0].propose(t, setReplicas("c1", 0, 3))
	require.Equal(t, first, again)
	other := c.nodes[0].propose(t, setReplicas("c1", 0, 4))
	require.Equal(t, OutcomeRefused, other.Kind, "one ID was accepted for two different changes: %+v", other)
}

func TestConflictReportsTheWinningChanges(t *testing.T) {
	c := newCluster(t, 2, 2)
	first := c.nodes[0].propose(t, setReplicas("c1", 0, 1))
	won := c.nodes[0].propose(t, setReplicas("c2", first.Version, 2))
	require.Equal(t, OutcomeAccepted, won.Kind)
	lost := c.nodes[1].propose(t, setReplicas("c3", first.Version, 3))
	require.Equal(t, OutcomeConflict, lost.Kind, "%+v", lost)
	require.Len(t, lost.ConflictingChanges, 1)
	require.Equal(t, ident.Change("c2"), lost.ConflictingChanges[0].Change)
	require.Equal(t, "set model m1 replicas=2", lost.ConflictingChanges[0].Summary)
}

func TestRefusalReportsPathValueAndAllowedValues(t *testing.T) {
	c := newCluster(t, 1, 1)
	refused := c.nodes[0].propose(t, setReplicas("c1", 0, -1))
	require.Equal(t, OutcomeRefused, refused.Kind)
	require.Equal(t, []Fault{{Path: "model/m1/replicas", Value: "-1", Allowed: "a whole number from 0 to 20000"}}, refused.Faults)
	wrong := setReplicas("c2", 0, 1)
	wrong.Edits[0].Assignments[0].Column = "replica"
	refused = c.nodes[0].propose(t, wrong)
	require.Equal(t, OutcomeRefused, refused.Kind)
	require.Contains(t, refused.Faults[0].Allowed, "version, adapters, replicas, priority")
}

func TestLostWriteResponseIsResolvedByChangeID(t *testing.T) {
	c := newCluster(t, 2, 1)
	first := c.nodes[0].propose(t, setReplicas("c1", 0, 1))
	c.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Verb: "update", Calls: 1})
	second := c.nodes[0].propose(t, setReplicas("c2", first.Version, 2))
	require.Equal(t, Outcome{Kind: OutcomeAccepted, Change: "c2", Version: first.Version + 1}, second)
}

func TestUnansweredChangeIsUnknownUntilResent(t *testing.T) {
	c := newCluster(t, 1, 1)
	first := c.nodes[0].propose(t, setReplicas("c1", 0, 1))
	c.nodes[0].waitVersion(t, first.Version)
	c.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultHang})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	outcome, err := c.nodes[0].manager.Propose(ctx, setReplicas("c2", first.Version, 2))
	require.NoError(t, err)
	require.Equal(t, OutcomeUnknown, outcome.Kind, "%+v", outcome)
	c.platform.ClearFaults()
	again := c.nodes[0].propose(t, setReplicas("c2", first.Version, 2))
	require.Equal(t, OutcomeAccepted, again.Kind, "%+v", again)
}

func TestNodeStartedDuringAnOutageLearnsFromPeersAndIgnoresStaleReads(t *testing.T) {
	c := newCluster(t, 4, 2)
	first := c.nodes[0].propose(t, setReplicas("c1", 0, 1))
	second := c.nodes[0].propose(t, setReplicas("c2", 0, 2))
	require.Greater(t, second.Version, first.Version)
	for _, n := range c.nodes {
		n.waitVersion(t, second.Version)
	}
	c.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultOutage})
	late := c.start("late", "d0")
	late.waitVersion(t, second.Version)
	c.platform.ClearFaults()
	c.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultStaleRead, VersionsBehind: 1})
	_, err := late.manager.read(t.Context())
	require.NoError(t, err)
	require.Equal(t, second.Version, late.manager.Current().Version)
}

func TestResentChangeIsNotRefusedBecauseOfStaleDocuments(t *testing.T) {
	c := newCluster(t, 1, 1)
	first := c.nodes[0].propose(t, setReplicas("c1", 0, 1))
	require.Equal(t, OutcomeAccepted, first.Kind)
	behind := NewManager(ManagerOptions{Store: c.nodes[0].store, Relay: relay.New(relay.Options{})})
	_, err := behind.read(t.Context()) // its relay does not run, so it receives no later version
	require.NoError(t, err)

	added := c.nodes[0].propose(t, Proposal{Change: "c2", Edits: []Edit{{Table: TableModel, Key: "m9"}}})
	require.Equal(t, OutcomeAccepted, added.Kind)
	remove := Proposal{Change: "c3", Edits: []Edit{{Table: TableModel, Key: "m9", Remove: true}}}
	removed := c.nodes[0].propose(t, remove)
	require.Equal(t, OutcomeAccepted, removed.Kind)

	c.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultStaleRead, VersionsBehind: 2})
	again, err := behind.Propose(t.Context(), remove)
	require.NoError(t, err)
	require.Equal(t, removed, again)
}
