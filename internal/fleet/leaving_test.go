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

// patience is how long tests wait for what must happen; it decides nothing else.
const patience = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// recorder keeps what is published and delivers by hand.
type recorder struct {
	published []membership.Rumour
	hear      func(membership.Rumour)
}

func (r *recorder) Publish(topic membership.Topic, key string, version uint64, payload []byte) error {
	r.published = append(r.published, membership.Rumour{Topic: topic, Key: key, Version: version, Payload: payload})
	return nil
}

func (r *recorder) Subscribe(_ membership.Topic, f func(membership.Rumour)) { r.hear = f }

type fixedView []Upstream

func (v fixedView) Upstreams() []Upstream { return v }

var sample = Upstream{ID: "u1", Host: "h1", State: StateReady}

func TestMarksHoldRenewAndEnd(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := &recorder{}
	l := NewLeaving(r, func() time.Time { return now })
	require.False(t, l.IsLeaving(sample))
	require.NoError(t, l.MarkHost("h1", now, SourceNotice))
	require.NoError(t, l.MarkHost("h1", now.Add(time.Second), SourceHostList))
	require.Len(t, r.published, 1, "the same news is spread once")
	require.True(t, l.IsLeaving(sample))
	require.False(t, l.IsLeaving(Upstream{ID: "u2", Host: "h2"}))

	now = now.Add(MarkLife * 2 / 3)
	require.NoError(t, l.MarkHost("h1", now, SourceHostList))
	require.Len(t, r.published, 2, "it is renewed before it ends")
	now = now.Add(MarkLife - time.Second)
	require.True(t, l.IsLeaving(sample))
	now = now.Add(time.Second)
	require.False(t, l.IsLeaving(sample))
	require.Empty(t, l.Marks())
}

func TestTheLaterMarkWinsInAnyOrder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	r := &recorder{}
	first := NewLeaving(r, clock)
	require.NoError(t, first.MarkUpstream("u1", now, SourceAnswer))
	found, err := first.Clear(Subject{Upstream: "u1"})
	require.NoError(t, err)
	require.True(t, found)
	require.False(t, first.IsLeaving(sample))

	second := NewLeaving(&recorder{}, clock)
	second.hear(r.published[1])
	second.hear(r.published[0])
	require.False(t, second.IsLeaving(sample), "the mark came after it was taken back")
	require.NoError(t, second.MarkUpstream("u1", now.Add(time.Minute), SourceNotice))
	require.True(t, second.IsLeaving(sample), "what is learnt later marks it again")
	found, err = second.Clear(Subject{Host: "h1"})
	require.NoError(t, err)
	require.False(t, found)
}

func TestTheReclaimTimeIsKeptAndSpread(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	clock := func() time.Time { return now }
	soon, later := now.Add(5*time.Second), now.Add(9*time.Second)
	r := &recorder{}
	l := NewLeaving(r, clock)
	require.Zero(t, l.ReclaimAt(sample))
	require.NoError(t, l.MarkHost("h1", now, SourceHostList))
	require.Zero(t, l.ReclaimAt(sample), "the host list says no time")
	require.NoError(t, l.MarkReclaim("h1", now, soon))
	require.True(t, soon.Equal(l.ReclaimAt(sample)), "a time is news, though the host is marked")
	require.NoError(t, l.MarkReclaim("h1", now.Add(time.Second), soon))
	require.Len(t, r.published, 2, "the same time is spread once")
	require.NoError(t, l.MarkReclaim("h1", now.Add(time.Second), later))
	require.True(t, later.Equal(l.ReclaimAt(sample)), "the platform put it off")

	other := NewLeaving(&recorder{}, clock)
	for i := range r.published {
		other.hear(r.published[len(r.published)-1-i])
	}
	require.True(t, later.Equal(other.ReclaimAt(sample)), "another node knows it, in whatever order it hears")

	now = now.Add(MarkLife/2 + 2*time.Second)
	require.NoError(t, l.MarkHost("h1", now, SourceHostList))
	require.Len(t, r.published, 4)
	require.True(t, later.Equal(l.ReclaimAt(sample)), "a later mark without a time leaves it in force")
	found, err := l.Clear(Subject{Host: "h1"})
	require.NoError(t, err)
	require.True(t, found)
	require.Zero(t, l.ReclaimAt(sample))
	require.NoError(t, l.MarkHost("h1", now.Add(time.Second), SourceOperator))
	require.Zero(t, l.ReclaimAt(sample), "the time went with the mark that was taken back")
}

func TestUnreadableMarksAreIgnored(t *testing.T) {
	r := &recorder{}
	l := NewLeaving(r, time.Now)
	r.hear(membership.Rumour{Key: "host/h1", Payload: []byte("{")})
	r.hear(membership.Rumour{Key: "rack/h1", Payload: []byte("{}")})
	require.Empty(t, l.Marks())
}

func TestViewShowsMarkedUpstreamsAsLeaving(t *testing.T) {
	l := NewLeaving(&recorder{}, time.Now)
	view := fixedView{sample, {ID: "u2", Host: "h1", State: StateGone}, {ID: "u3", Host: "h3", State: StateReady}}
	marked := NewLeavingView(view, l)
	require.NoError(t, l.MarkHost("h1", time.Now(), SourceNotice))
	got := marked.Upstreams()
	require.Equal(t, []State{StateLeaving, StateGone, StateReady}, []State{got[0].State, got[1].State, got[2].State})
	require.Equal(t, StateReady, view[0].State, "the view's own snapshot is left alone")
}

// TestMarksReachEveryNode marks at one node, by each source, and looks at all others.
func TestMarksReachEveryNode(t *testing.T) {
	var nodes []*Leaving
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
		nodes = append(nodes, NewLeaving(c, time.Now))
	}
	require.NoError(t, nodes[1].MarkHost("h1", time.Now(), SourceNotice))
	require.NoError(t, nodes[2].MarkUpstream("u9", time.Now(), SourceAnswer))
	for _, node := range nodes {
		require.Eventually(t, func() bool {
			return node.IsLeaving(sample) && node.IsLeaving(Upstream{ID: "u9", Host: "h9"})
		}, patience, 5*time.Millisecond)
	}
}
