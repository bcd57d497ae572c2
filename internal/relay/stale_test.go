package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// listView is a membership whose member states a test sets.
type listView struct{ members []membership.Member }

func (v *listView) Self() membership.Member           { return v.members[0] }
func (v *listView) Members() []membership.Member      { return v.members }
func (v *listView) set(s membership.State, at ...int) { v.each(s, at) }
func (v *listView) each(s membership.State, at []int) {
	for _, i := range at {
		v.members[i].State = s
	}
}

func (v *listView) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

func member(node, region string) membership.Member {
	return membership.Member{
		Incarnation: ident.Incarnation(node + "_1"), Node: ident.Node(node),
		Region: ident.Region(region), FailureDomain: ident.FailureDomain(region + "-d"),
	}
}

func TestOnlyIsolatedNodeIsStaleDuringStoreOutage(t *testing.T) {
	now := time.Now()
	view := &listView{members: []membership.Member{
		member("a", "r1"), member("b", "r1"), member("c", "r1"), member("d", "r1"), member("e", "r2"),
	}}
	r := New(Options{View: view, Kinds: []objects.Kind{"things"}, Clock: func() time.Time { return now }})
	_, stale := r.Stale(now)
	require.True(t, stale, "no object received yet")

	r.Put(objects.Object{Kind: "things", Metadata: objects.Metadata{Name: "x", ResourceVersion: 7}})
	r.recordKindProof("things")
	require.False(t, staleAt(r, now.Add(StaleLimit)))
	later := now.Add(StaleLimit + time.Millisecond)
	require.False(t, staleAt(r, later), "the store is down and all nodes are reachable")
	view.set(membership.StateDead, 1)
	require.False(t, staleAt(r, later), "one node has failed during the outage")
	view.set(membership.StateDead, 2, 3)
	require.True(t, staleAt(r, later), "two of five nodes are reachable")
	view.set(membership.StateAlive, 1, 2, 3)
	view.set(membership.StateSuspect, 4)
	require.True(t, staleAt(r, later), "a region is not reachable")
	view.set(membership.StateLeft, 4)
	require.False(t, staleAt(r, later), "the region's only node has left")
}

func staleAt(r *Relay, now time.Time) bool {
	_, stale := r.Stale(now)
	return stale
}

func TestHintProofRequiresEqualDigest(t *testing.T) {
	now := time.Now()
	view := &listView{members: []membership.Member{member("a", "r1")}}
	r := New(Options{View: view, Clock: func() time.Time { return now }})
	r.Put(objects.Object{Kind: "things", Metadata: objects.Metadata{Name: "x", ResourceVersion: 7}})
	r.pulling = true // prevents a pull: there is no other node
	r.handleHint(Hint{Digest: r.table.digest() + 1, Proven: true})
	require.True(t, r.ProvenAt().IsZero(), "the sender holds other versions")
	r.tick(now)
	r.handleHint(Hint{Digest: r.table.digest()})
	require.True(t, r.ProvenAt().IsZero(), "the sender has no proof")
	r.handleHint(Hint{Digest: r.table.digest(), Proven: true, Age: time.Second})
	require.Equal(t, now.Add(-time.Second), r.ProvenAt())
}

func TestHintProofIsIgnoredAfterPause(t *testing.T) {
	now := time.Now()
	r := New(Options{View: &listView{members: []membership.Member{member("a", "r1")}}, Clock: func() time.Time { return now }})
	hint := Hint{Digest: r.table.digest(), Proven: true}
	r.tick(now)
	now = now.Add(time.Minute) // paused
	r.handleHint(hint)
	require.True(t, r.ProvenAt().IsZero(), "read before the first tick after the pause")
	r.tick(now)
	r.handleHint(hint)
	require.True(t, r.ProvenAt().IsZero(), "read right after the first tick after the pause")
	for range 10 {
		now = now.Add(pullInterval)
		r.tick(now)
	}
	r.handleHint(hint)
	require.Equal(t, now, r.ProvenAt())
}

func TestLowerVersionsAreIgnored(t *testing.T) {
	r := New(Options{View: &listView{members: []membership.Member{member("a", "r1")}}})
	var received []objects.Version
	r.Subscribe("things", func(o objects.Object) { received = append(received, o.Metadata.ResourceVersion) })
	for _, v := range []objects.Version{3, 2, 3, 5, 4} {
		r.Put(objects.Object{Kind: "things", Metadata: objects.Metadata{Name: "x", ResourceVersion: v}})
	}
	require.Equal(t, []objects.Version{3, 5}, received)
}
