package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

// asking is a settled site that asks for single hosts and lists all in 250 s only,
// as one with 10,000 hosts does.
func asking(t *testing.T) (*bench, *Reconciler, *countingCloud) {
	t.Helper()
	b, r, c := settledWith(t, true)
	r.listing.afterMark = false
	for n := range 10_000 {
		ended := cloud.Host{ID: ident.Host(fmt.Sprintf("e%d", n)), ClientToken: fmt.Sprintf("ended-%d", n), State: cloud.StateTerminated}
		r.listing.hosts = append(r.listing.hosts, ended)
	}
	return b, r, c
}

// mark marks a subject by something else than a notice.
func (b *bench) mark(subject fleet.Subject) {
	b.marked = append(b.marked, fleet.Mark{Subject: subject, At: b.now})
	b.noticed++
}

func TestNoticeOfAHostNeedsNoListAtALargeSite(t *testing.T) {
	b, r, c := asking(t)
	require.Equal(t, 1, b.platform.Reclaim(string(b.running1()), "", "", time.Minute))
	b.pass(r, passInterval)
	require.Equal(t, 5, b.running()["all"], "the next host is on its way")
	for range 15 {
		b.pass(r, passInterval)
	}
	require.Equal(t, 4, b.running()["all"], "the host was emptied and ended")
	require.Equal(t, 4, b.ready("m1"))
	require.Len(t, b.registry.Upstreams(), 4)
	require.Len(t, b.platform.Bill(), 5)
	require.Zero(t, c.lists)
	// The mark, the start, the load and the end; the mark again finds no intent any more.
	require.EqualValues(t, 4, c.asked.Load())
}

func TestMarkBeforeTheCloudKnowsIsFollowedOnceMoreAtALargeSite(t *testing.T) {
	for _, upstream := range []bool{false, true} {
		b, r, c := asking(t)
		host := b.running1()
		subject := fleet.Subject{Host: host}
		if upstream {
			subject = fleet.Subject{Upstream: upstreamOf(host)}
		}
		b.mark(subject)
		b.pass(r, passInterval)
		require.EqualValues(t, 1, c.asked.Load())
		require.Equal(t, 4, b.running()["all"])
		require.NoError(t, b.cloud.Terminate(t.Context(), host))
		b.pass(r, askAgainAfter-passInterval)
		require.EqualValues(t, 1, c.asked.Load(), "it is asked for again too early")
		b.pass(r, passInterval)
		require.Equal(t, 4, b.running()["all"], "the host's end was not found")
		require.Zero(t, c.lists)
	}
}

func TestMarkOfSomebodyElsesHostNeedsNothing(t *testing.T) {
	b, r, c := asking(t)
	b.mark(fleet.Subject{Host: "an entry host"})
	b.pass(r, passInterval)
	require.Zero(t, c.lists)
	require.Zero(t, c.asked.Load())
}

func TestManyMarksAtOnceAreListed(t *testing.T) {
	b, r, c := settledWith(t, true)
	b.site.Models[0].Replicas = maxAsked + 1
	b.passes(r, 8, b.withinBudget)
	require.Equal(t, maxAsked+1, b.ready("m1"))
	c.lists = 0
	require.Equal(t, maxAsked+1, b.platform.Reclaim("", "", "", time.Minute))
	b.pass(r, passInterval)
	require.Positive(t, c.lists)
}

func TestHostIsAskedForBeforeItLoads(t *testing.T) {
	b, r, c := asking(t)
	ended := b.running1()
	require.NoError(t, b.cloud.Terminate(t.Context(), ended))
	b.site.Models[0].Adapters = []ident.Adapter{"a1"}
	b.pass(r, passInterval)
	require.EqualValues(t, 5, c.asked.Load(), "four that load and the next for the one that vanished")
	require.Equal(t, 4, b.running()["all"])
	for _, u := range b.registry.Upstreams() {
		require.NotEqual(t, ended, u.Host, "a load was ordered at a host that is no more")
	}
}

func TestEndIsLookedUpAtALargeSite(t *testing.T) {
	b, r, c := asking(t)
	b.site.Models[0].Replicas = 3
	b.pass(r, passInterval)
	require.Positive(t, c.lists, "a change of configuration is carried out by a fresh list")
	c.lists = 0
	c.loseEnds.Store(1)
	b.pass(r, minDrain)
	require.Equal(t, 3, b.running()["all"])
	b.pass(r, passInterval)
	require.Len(t, b.registry.Upstreams(), 3)
	require.EqualValues(t, 1, c.asked.Load())
	require.Zero(t, c.lists)
}

func TestVanishedHostIsReplacedAtTheIntervalOfALargeSite(t *testing.T) {
	b, r, c := asking(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.running1()))
	require.Equal(t, 1, b.platform.Reclaim(string(b.running1()), "", "", time.Minute))
	b.pass(r, passInterval)
	require.Equal(t, 4, b.running()["all"], "of the two only that with a notice is known")
	b.pass(r, 250*time.Second)
	require.Positive(t, c.lists)
	b.passes(r, 4, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
}

func TestHostThatCannotBeAskedForIsListed(t *testing.T) {
	b, r, c := asking(t)
	c.loseStarts.Store(1)
	require.Equal(t, 1, b.platform.Reclaim(string(b.running1()), "", "", time.Minute))
	b.pass(r, passInterval)
	require.Equal(t, 1, c.lists)
	require.Equal(t, 5, b.running()["all"])
}
