package witness

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testToken = "secret"

// cluster is the membership that all test nodes share.
type cluster struct {
	mu      sync.Mutex
	members map[ident.Incarnation]membership.Member
}

func (c *cluster) set(m membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[m.Incarnation] = m
}

func (c *cluster) get(incarnation ident.Incarnation) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[incarnation]
	return m, ok
}

// testView is the cluster as one node sees it.
type testView struct {
	cluster *cluster
	self    ident.Incarnation
}

func (v testView) Self() membership.Member {
	m, _ := v.cluster.get(v.self)
	return m
}

func (v testView) Members() []membership.Member { return nil }

func (v testView) Lookup(i ident.Incarnation) (membership.Member, bool) {
	return v.cluster.get(i)
}

// testNode is a node that runs only a witness service and its client.
type testNode struct {
	member  membership.Member
	service *Service
	client  *Client
	peers   *peer.Client
	stop    func()
}

func startNode(t testing.TB, c *cluster, name string) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	incarnation := ident.NewIncarnation(ident.Node(name), time.Now())
	member := membership.Member{Incarnation: incarnation, PeerAddress: listener.Addr().String()}
	c.set(member)
	peers := peer.NewClient(peer.Dialer{Token: testToken})
	service := NewService(incarnation, peers)
	server := peer.NewServer(testToken)
	require.NoError(t, service.Register(server))
	tracked := &trackedListener{Listener: listener}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(tracked, nil)
	}()
	n := &testNode{member: member, service: service, peers: peers}
	n.client = NewClient(peers, testView{cluster: c, self: incarnation}, service)
	var once sync.Once
	n.stop = func() {
		once.Do(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = server.Shutdown(ctx)
			tracked.closeAll()
			peers.Close()
			<-served
		})
	}
	t.Cleanup(n.stop)
	return n
}

// trackedListener can close the connections it accepted, as if the process had ended.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

func (l *trackedListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

func startNodes(t *testing.T, count int) (*cluster, []*testNode) {
	t.Helper()
	c := &cluster{members: make(map[ident.Incarnation]membership.Member)}
	var nodes []*testNode
	for i := range count {
		nodes = append(nodes, startNode(t, c, fmt.Sprintf("n%d", i)))
	}
	return c, nodes
}

func newSpec(id ident.RequestID, input string) *request.Spec {
	return &request.Spec{ID: id, Workspace: "w", Input: input, Deadline: time.Now().Add(time.Hour)}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func claimAndGrant(t *testing.T, n *testNode, id ident.RequestID, input string) bool {
	t.Helper()
	ctx := testContext(t)
	self := n.member.Incarnation
	reply, err := n.client.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: self, Spec: newSpec(id, input)})
	require.NoError(t, err)
	if !reply.Claimed {
		return false
	}
	granted, err := n.client.Grant(ctx, &grant.Request{ID: id, Holder: self, Epoch: reply.Record.Epoch})
	require.NoError(t, err)
	return granted.Granted
}

func TestExactlyOneOfTwoRacingNodesIsGranted(t *testing.T) {
	_, nodes := startNodes(t, 3)
	const requests = 200
	granted := make([][2]bool, requests)
	var wg sync.WaitGroup
	for i := range requests {
		id := ident.NewRequestID(nodes[0].member.Incarnation, nodes[2].member.Incarnation)
		for j := range 2 {
			wg.Go(func() { granted[i][j] = claimAndGrant(t, nodes[j], id, "") })
		}
	}
	wg.Wait()
	for i := range granted {
		require.NotEqual(t, granted[i][0], granted[i][1], "request %d", i)
	}
}

func TestHandOverKeepsGrantsAndForwards(t *testing.T) {
	c, nodes := startNodes(t, 4)
	home, old, next, last := nodes[0], nodes[1], nodes[2], nodes[3]
	ctx := testContext(t)
	input := string(make([]byte, 20<<10)) // 100 of them need several chunks
	var ids []ident.RequestID
	for range 100 {
		id := ident.NewRequestID(home.member.Incarnation, old.member.Incarnation)
		ids = append(ids, id)
		require.True(t, claimAndGrant(t, home, id, input))
	}
	require.NoError(t, old.service.HandOver(ctx, next.member))

	// The membership does not name the successor yet, so the old witness forwards.
	checkGranted(t, home, ids)
	moved := old.member
	moved.State = membership.StateLeft
	moved.Successor = next.member.Incarnation
	c.set(moved)
	old.stop()
	checkGranted(t, home, ids)

	require.NoError(t, next.service.HandOver(ctx, last.member))
	second := next.member
	second.State = membership.StateLeft
	second.Successor = last.member.Incarnation
	c.set(second)
	next.stop()
	checkGranted(t, home, ids)
}

// checkGranted checks that each request is still granted to home and to no other node.
func checkGranted(t *testing.T, home *testNode, ids []ident.RequestID) {
	t.Helper()
	ctx := testContext(t)
	for _, id := range ids {
		reply, err := home.client.Grant(ctx, &grant.Request{ID: id, Holder: home.member.Incarnation, Epoch: 1})
		require.NoError(t, err)
		require.True(t, reply.Granted)
		claim, err := home.client.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: "n9_0000000000000009", SeenEpoch: 1})
		require.NoError(t, err)
		require.False(t, claim.Claimed)
		require.True(t, claim.Granted)
	}
}

func TestHandOverUnderLoadNeverGrantsTwice(t *testing.T) {
	_, nodes := startNodes(t, 4)
	old, next := nodes[2], nodes[3]
	const requests = 300
	granted := make([][2]bool, requests)
	var wg sync.WaitGroup
	for j := range 2 {
		wg.Go(func() {
			for i := range requests {
				id := ident.RequestID{Home: nodes[0].member.Incarnation, Witness: old.member.Incarnation, Random: fmt.Sprintf("request%09d", i)}
				granted[i][j] = tryGrant(t, nodes[j], id)
			}
		})
	}
	wg.Go(func() {
		time.Sleep(20 * time.Millisecond)
		if err := old.service.HandOver(testContext(t), next.member); err != nil {
			t.Errorf("hand-over: %v", err)
		}
	})
	wg.Wait()
	for i := range granted {
		require.False(t, granted[i][0] && granted[i][1], "request %d was granted twice", i)
	}
}

// tryGrant claims a request and asks for its grant. Refusals and errors count as not granted.
func tryGrant(t *testing.T, n *testNode, id ident.RequestID) bool {
	ctx := testContext(t)
	self := n.member.Incarnation
	reply, err := n.client.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: self, Spec: newSpec(id, "")})
	if err != nil || !reply.Claimed {
		return false
	}
	granted, err := n.client.Grant(ctx, &grant.Request{ID: id, Holder: self, Epoch: reply.Record.Epoch})
	return err == nil && granted.Granted
}

func TestUnreachableWitnessIsMayHaveRun(t *testing.T) {
	_, nodes := startNodes(t, 2)
	id := ident.NewRequestID(nodes[0].member.Incarnation, nodes[1].member.Incarnation)
	require.True(t, claimAndGrant(t, nodes[0], id, ""))
	nodes[1].stop()
	_, err := nodes[0].client.Grant(testContext(t), &grant.Request{ID: id, Holder: nodes[0].member.Incarnation, Epoch: 1})
	requireWitnessLost(t, err)
	unknown := ident.NewRequestID(nodes[0].member.Incarnation, "n9_0000000000000009")
	_, err = nodes[0].client.Fetch(testContext(t), &grant.FetchRequest{ID: unknown})
	requireWitnessLost(t, err)
}

func TestRetryAfterOfUnreachableWitness(t *testing.T) {
	c, nodes := startNodes(t, 3)
	home, wit, next := nodes[0], nodes[1], nodes[2]
	id := ident.NewRequestID(home.member.Incarnation, wit.member.Incarnation)
	wit.stop()
	next.stop()
	setMember := func(n *testNode, state membership.State, successor ident.Incarnation) {
		m := n.member
		m.State, m.Successor = state, successor
		c.set(m)
	}
	requireRetryAfter := func(after time.Duration) {
		t.Helper()
		_, err := home.client.Fetch(testContext(t), &grant.FetchRequest{ID: id})
		requireWitnessLost(t, err)
		require.Equal(t, after, verdict.From(err).RetryAfter)
	}
	requireRetryAfter(unreachableRetryAfter)
	setMember(wit, membership.StateSuspect, "")
	requireRetryAfter(unreachableRetryAfter)
	setMember(wit, membership.StateDead, "")
	requireRetryAfter(0)
	setMember(wit, membership.StateLeft, "n9_0000000000000009")
	requireRetryAfter(unreachableRetryAfter)
	setMember(wit, membership.StateLeft, next.member.Incarnation)
	requireRetryAfter(unreachableRetryAfter)
	setMember(next, membership.StateDead, "")
	requireRetryAfter(0)
}

func requireWitnessLost(t *testing.T, err error) {
	t.Helper()
	var refusal *verdict.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, verdict.CodeWitnessLost, refusal.Code)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
}

func TestSuccessorMayChangeOnlyBeforeTheClose(t *testing.T) {
	_, nodes := startNodes(t, 4)
	home, old, gone, next := nodes[0], nodes[1], nodes[2], nodes[3]
	id := ident.NewRequestID(home.member.Incarnation, old.member.Incarnation)
	require.True(t, claimAndGrant(t, home, id, ""))
	gone.stop()
	short, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	require.True(t, errors.Is(old.service.HandOver(short, gone.member), ErrNotAcknowledged))
	checkGranted(t, home, []ident.RequestID{id})

	own, _ := old.service.table(old.member.Incarnation)
	require.NoError(t, own.close(next.member))
	other := next.member
	other.Incarnation = "n9_0000000000000009"
	require.ErrorIs(t, own.close(other), grant.ErrOtherSuccessor)
	_, err := home.client.Fetch(testContext(t), &grant.FetchRequest{ID: id})
	requireWitnessLost(t, err)
	require.NoError(t, old.service.HandOver(testContext(t), next.member), "the hand-over to the chosen successor may be retried")
	checkGranted(t, home, []ident.RequestID{id})
}

func TestAllTablesOfANodeGoToOneSuccessor(t *testing.T) {
	_, nodes := startNodes(t, 4)
	first, old, gone, next := nodes[0], nodes[1], nodes[2], nodes[3]
	require.NoError(t, first.service.HandOver(testContext(t), old.member), "old now holds two tables")
	require.NoError(t, old.service.setSuccessor(gone.member.Incarnation))
	require.ErrorIs(t, old.service.HandOver(testContext(t), next.member), grant.ErrOtherSuccessor)
	require.Len(t, next.service.Stats(), 2, "its own table and the offered one")
	short, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.Error(t, next.service.HandOver(short, old.member), "a node that is leaving accepts no table")
}

func TestIncompleteHandOverAnswersNothing(t *testing.T) {
	_, nodes := startNodes(t, 2)
	old, next := nodes[0], nodes[1]
	ctx := testContext(t)
	witness := old.member.Incarnation
	self := next.member.Incarnation
	_, err := next.service.offer(ctx, &OfferRequest{Witness: witness, Successor: self})
	require.NoError(t, err)
	part := grant.Snapshot{}
	data, err := part.Encode()
	require.NoError(t, err)
	_, err = next.service.chunk(ctx, &ChunkRequest{Witness: witness, Successor: self, Index: 0, Data: data})
	require.NoError(t, err)
	ack, err := next.service.install(ctx, &InstallRequest{Witness: witness, Successor: self, Count: 2})
	require.NoError(t, err)
	require.False(t, ack.OK)
	id := ident.NewRequestID(self, witness)
	_, err = next.service.Grant(ctx, &grant.Request{ID: id, Holder: self, Epoch: 1})
	requireWitnessLost(t, err)
	_, err = next.service.offer(ctx, &OfferRequest{Witness: witness, Successor: "n1_0000000000000000"})
	require.Error(t, err, "an offer for an earlier process at the same address")
}

func TestOtherWorkspaceIsForbidden(t *testing.T) {
	_, nodes := startNodes(t, 2)
	id := ident.NewRequestID(nodes[0].member.Incarnation, nodes[1].member.Incarnation)
	require.True(t, claimAndGrant(t, nodes[0], id, ""))
	_, err := nodes[0].client.Cancel(testContext(t), &grant.CancelRequest{ID: id, Workspace: "stranger"})
	var refusal *verdict.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, verdict.CodeForbidden, refusal.Code)
}
