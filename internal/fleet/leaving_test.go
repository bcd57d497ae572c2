package fleet

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// waitTimeout bounds how long tests wait for an expected event.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// recordingBroadcaster records what is published; tests deliver rumours themselves through notify.
type recordingBroadcaster struct {
	published []membership.Rumour
	notify    func(membership.Rumour)
}

func (r *recordingBroadcaster) Publish(topic membership.Topic, key string, version uint64, payload []byte) error {
	r.published = append(r.published, membership.Rumour{Topic: topic, Key: key, Version: version, Payload: payload})
	return nil
}

func (r *recordingBroadcaster) Subscribe(_ membership.Topic, f func(membership.Rumour)) { r.notify = f }

type fixedView []Upstream

func (v fixedView) Upstreams() []Upstream { return v }

var readyUpstream = Upstream{ID: "u1", Host: "h1", State: StateReady}

func TestMarksAreRenewedAndExpire(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := &recordingBroadcaster{}
	l := NewLeavingMarks(r, func() time.Time { return now })
	require.False(t, l.IsLeaving(readyUpstream))
	require.NoError(t, l.MarkHost("h1", now, SourceNotice))
	require.NoError(t, l.MarkHost("h1", now.Add(time.Second), SourceHostList))
	require.Len(t, r.published, 1, "a mark that says nothing new was published again")
	require.True(t, l.IsLeaving(readyUpstream))
	require.False(t, l.IsLeaving(Upstream{ID: "u2", Host: "h2"}))

	now = now.Add(MarkLifetime * 2 / 3)
	require.NoError(t, l.MarkHost("h1", now, SourceHostList))
	require.Len(t, r.published, 2, "the mark was not renewed before it expired")
	now = now.Add(MarkLifetime - time.Second)
	require.True(t, l.IsLeaving(readyUpstream))
	now = now.Add(time.Second)
	require.False(t, l.IsLeaving(readyUpstream))
	require.Empty(t, l.Marks())
}

func TestLatestMarkWinsInAnyOrder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	r := &recordingBroadcaster{}
	first := NewLeavingMarks(r, clock)
	require.NoError(t, first.MarkUpstream("u1", now, SourceAnswer))
	found, err := first.Clear(Subject{Upstream: "u1"})
	require.NoError(t, err)
	require.True(t, found)
	require.False(t, first.IsLeaving(readyUpstream))

	second := NewLeavingMarks(&recordingBroadcaster{}, clock)
	second.handleRumour(r.published[1])
	second.handleRumour(r.published[0])
	require.False(t, second.IsLeaving(readyUpstream), "a mark that arrived after its clearing was applied")
	require.NoError(t, second.MarkUpstream("u1", now.Add(time.Minute), SourceNotice))
	require.True(t, second.IsLeaving(readyUpstream), "a later mark did not mark the upstream again")
	found, err = second.Clear(Subject{Host: "h1"})
	require.NoError(t, err)
	require.False(t, found)
}

func TestReclaimTimeIsKeptAndPublished(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	clock := func() time.Time { return now }
	soon, later := now.Add(5*time.Second), now.Add(9*time.Second)
	r := &recordingBroadcaster{}
	l := NewLeavingMarks(r, clock)
	require.Zero(t, l.ReclaimAt(readyUpstream))
	require.NoError(t, l.MarkHost("h1", now, SourceHostList))
	require.Zero(t, l.ReclaimAt(readyUpstream), "the host list has no reclaim time")
	require.NoError(t, l.MarkReclaim("h1", now, soon))
	require.True(t, soon.Equal(l.ReclaimAt(readyUpstream)), "the reclaim time of a marked host was not applied")
	require.NoError(t, l.MarkReclaim("h1", now.Add(time.Second), soon))
	require.Len(t, r.published, 2, "the same reclaim time was published again")
	require.NoError(t, l.MarkReclaim("h1", now.Add(time.Second), later))
	require.True(t, later.Equal(l.ReclaimAt(readyUpstream)), "a postponed reclaim time was not applied")

	other := NewLeavingMarks(&recordingBroadcaster{}, clock)
	for i := range r.published {
		other.handleRumour(r.published[len(r.published)-1-i])
	}
	require.True(t, later.Equal(other.ReclaimAt(readyUpstream)), "another node that received the marks in reverse has another time")

	now = now.Add(MarkLifetime/2 + 2*time.Second)
	require.NoError(t, l.MarkHost("h1", now, SourceHostList))
	require.Len(t, r.published, 4)
	require.True(t, later.Equal(l.ReclaimAt(readyUpstream)), "a later mark without a reclaim time dropped the known one")
	found, err := l.Clear(Subject{Host: "h1"})
	require.NoError(t, err)
	require.True(t, found)
	require.Zero(t, l.ReclaimAt(readyUpstream))
	require.NoError(t, l.MarkHost("h1", now.Add(time.Second), SourceOperator))
	require.Zero(t, l.ReclaimAt(readyUpstream), "the reclaim time outlived its cleared mark")
}

func TestUnreadableMarksAreIgnored(t *testing.T) {
	r := &recordingBroadcaster{}
	l := NewLeavingMarks(r, time.Now)
	r.notify(membership.Rumour{Key: "host/h1", Payload: []byte("{")})
	r.notify(membership.Rumour{Key: "rack/h1", Payload: []byte("{}")})
	require.Empty(t, l.Marks())
}

func TestViewShowsMarkedUpstreamsAsLeaving(t *testing.T) {
	l := NewLeavingMarks(&recordingBroadcaster{}, time.Now)
	view := fixedView{readyUpstream, {ID: "u2", Host: "h1", State: StateGone}, {ID: "u3", Host: "h3", State: StateReady}}
	marked := NewLeavingView(view, l)
	require.NoError(t, l.MarkHost("h1", time.Now(), SourceNotice))
	got := marked.Upstreams()
	require.Equal(t, []State{StateLeaving, StateGone, StateReady}, []State{got[0].State, got[1].State, got[2].State})
	require.Equal(t, StateReady, view[0].State, "the snapshot of the underlying view was modified")
}

// TestMarksReachEveryNode makes a mark of a host and one of an upstream on two nodes
// and waits until all nodes know both.
func TestMarksReachEveryNode(t *testing.T) {
	var nodes []*LeavingMarks
	var seed string
	for i := range 4 {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		node := ident.Node(fmt.Sprintf("n%d", i))
		self := membership.Member{Incarnation: ident.NewIncarnation(node, time.Now()), Node: node, PeerAddress: conn.LocalAddr().String()}
		if seed == "" {
			seed = self.PeerAddress
		}
		c := membership.New(membership.Options{Self: self, Seeds: []string{seed}, Conn: conn, Token: "secret"})
		c.Start(t.Context())
		t.Cleanup(c.Stop)
		nodes = append(nodes, NewLeavingMarks(c, time.Now))
	}
	require.NoError(t, nodes[1].MarkHost("h1", time.Now(), SourceNotice))
	require.NoError(t, nodes[2].MarkUpstream("u9", time.Now(), SourceAnswer))
	for _, node := range nodes {
		require.Eventually(t, func() bool {
			return node.IsLeaving(readyUpstream) && node.IsLeaving(Upstream{ID: "u9", Host: "h9"})
		}, waitTimeout, 5*time.Millisecond)
	}
}
